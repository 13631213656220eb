#ifndef FIREFLYTHREAD_CONFIG_FWD_H_
#define FIREFLYTHREAD_CONFIG_FWD_H_

namespace fireflythread {

struct ConfigSnapshot;
struct MaintenanceWindow;
struct PoolSpec;
struct Profile;
struct ServiceSpec;
struct TeamQuota;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_FWD_H_
