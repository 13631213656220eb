#ifndef FIREFLYTHREAD_ADMISSION_FWD_H_
#define FIREFLYTHREAD_ADMISSION_FWD_H_

namespace fireflythread {

struct AdmissionLimits;
struct PoolLoad;
struct QueuedRequest;
struct ServiceTime;
class AdmissionQueue;
class ClassQueue;
class TeamLimiter;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_FWD_H_
