#ifndef FIREFLYTHREAD_ENTRY_FWD_H_
#define FIREFLYTHREAD_ENTRY_FWD_H_

namespace fireflythread {

class ConfigTask;
class JobRequestHandler;
class OwnershipTask;
class ShardTask;
class WorkerDirectory;
struct EntryLimits;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_FWD_H_
