#ifndef FIREFLYTHREAD_DUTIES_FWD_H_
#define FIREFLYTHREAD_DUTIES_FWD_H_

namespace fireflythread {

struct Duty;
struct DutyOrder;
struct DutyState;
struct MachineView;
struct PoolLoad;
struct WaveProgress;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_FWD_H_
