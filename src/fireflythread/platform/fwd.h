#ifndef FIREFLYTHREAD_PLATFORM_FWD_H_
#define FIREFLYTHREAD_PLATFORM_FWD_H_

namespace fireflythread {

struct Condition;
struct Conflict;
struct ListedVm;
struct Row;
struct ScanResult;
struct Transaction;
struct VmCommand;
struct VmListResult;
struct WorkerTaskCommand;
struct WorkerTaskReport;
struct Write;
class PlatformClient;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_FWD_H_
