#ifndef FIREFLYTHREAD_CONTROL_FWD_H_
#define FIREFLYTHREAD_CONTROL_FWD_H_

namespace fireflythread {

struct ControllerDecision;
struct ControllerInputs;
struct ControllerLimits;
struct ControllerMemory;
struct ControllerReport;
struct FleetDraft;
struct FleetSummary;
struct PoolPolicy;
struct PoolState;
struct ReservePlan;
struct ServiceDemand;
struct VmProbe;
struct WavePlan;
struct WaveRecord;
struct WorkerFault;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_FWD_H_
