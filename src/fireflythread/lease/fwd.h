#ifndef FIREFLYTHREAD_LEASE_FWD_H_
#define FIREFLYTHREAD_LEASE_FWD_H_

namespace fireflythread {

struct LeaseRecord;
struct LeaseSettings;
struct LeaseState;
struct LeaseStep;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_LEASE_FWD_H_
