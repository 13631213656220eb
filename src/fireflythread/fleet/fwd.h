#ifndef FIREFLYTHREAD_FLEET_FWD_H_
#define FIREFLYTHREAD_FLEET_FWD_H_

namespace fireflythread {

struct DeletedRow;
struct DrainTracker;
struct FleetChanges;
struct FleetView;
struct MemberState;
struct RowError;
struct VmRecord;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_FWD_H_
