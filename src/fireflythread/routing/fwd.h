#ifndef FIREFLYTHREAD_ROUTING_FWD_H_
#define FIREFLYTHREAD_ROUTING_FWD_H_

namespace fireflythread {

struct HealthChange;
struct LoanReply;
struct LoanRequest;
struct SlotLoan;
struct SlotReturn;
struct WorkerCandidate;
class PoolHealth;
class SlotTable;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ROUTING_FWD_H_
