#ifndef FIREFLYTHREAD_FLEET_FWD_H_
#define FIREFLYTHREAD_FLEET_FWD_H_

namespace fireflythread {

struct FleetView;
struct VmRecord;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_FWD_H_
