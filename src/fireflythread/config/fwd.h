#ifndef FIREFLYTHREAD_CONFIG_FWD_H_
#define FIREFLYTHREAD_CONFIG_FWD_H_

namespace fireflythread {

struct ConfigChange;
struct ConfigEdit;
struct ConfigFault;
struct ConfigSnapshot;
struct MaintenanceWindow;
struct PlannedEdit;
struct PoolSpec;
struct Profile;
struct ServiceSpec;
struct TeamQuota;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_FWD_H_
