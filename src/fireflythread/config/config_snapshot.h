#ifndef FIREFLYTHREAD_CONFIG_CONFIG_SNAPSHOT_H_
#define FIREFLYTHREAD_CONFIG_CONFIG_SNAPSHOT_H_

#include <cstdint>
#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/config/pool_spec.h"
#include "fireflythread/config/profile.h"
#include "fireflythread/config/service_spec.h"
#include "fireflythread/config/team_quota.h"

namespace fireflythread {

/// The whole configuration at one version. Immutable once built; shared by
/// std::shared_ptr<const ConfigSnapshot>.
struct ConfigSnapshot {
  /// The number in the `config/head` row; 0 before the first configuration.
  std::uint64_t version = 0;
  /// The table revision of the `config/head` row; every edit requires it.
  std::uint64_t head_row_version = 0;
  std::map<ProfileName, Profile> profiles;
  std::map<ServiceName, ServiceSpec> services;
  std::map<PoolName, PoolSpec> pools;
  std::map<TeamName, TeamQuota> teams;

  auto operator==(const ConfigSnapshot&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CONFIG_SNAPSHOT_H_
