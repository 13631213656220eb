#ifndef FIREFLYTHREAD_REPLICA_FWD_H_
#define FIREFLYTHREAD_REPLICA_FWD_H_

namespace fireflythread {

struct TableReplica;
struct TableDelta;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_REPLICA_FWD_H_
