#include "fireflythread/config/validate.h"

#include <algorithm>

#include "fireflythread/config/config_snapshot.h"

namespace fireflythread {

namespace {

auto CheckService(const ConfigSnapshot& snapshot,
                  const ServiceSpec& service,
                  std::vector<ConfigFault>& faults) -> void {
  const std::string key = ConfigKey(ConfigKind::kService, service.name.value);
  const auto pool = snapshot.pools.find(service.pool);
  if (pool == snapshot.pools.end()) {
    faults.push_back({key, "pool", "names no pool: " + service.pool.value,
                      "an existing pool"});
  } else if (pool->second.spare) {
    faults.push_back({key, "pool",
                      "names the spare pool: " + service.pool.value,
                      "a pool that is not the spare"});
  }
  if (!snapshot.profiles.contains(service.profile)) {
    faults.push_back({key, "profile",
                      "names no profile: " + service.profile.value,
                      "an existing profile"});
  }
}

auto CheckSparePools(const ConfigSnapshot& snapshot,
                     std::vector<ConfigFault>& faults) -> void {
  const PoolSpec* first = nullptr;
  for (const auto& [name, pool] : snapshot.pools) {
    if (!pool.spare) {
      continue;
    }
    if (first != nullptr) {
      faults.push_back({ConfigKey(ConfigKind::kPool, name.value), "spare",
                        "is a second spare pool beside " + first->name.value,
                        "true for one pool only"});
    } else {
      first = &pool;
    }
  }
}

}  // namespace

auto ValidateSnapshot(const ConfigSnapshot& snapshot)
    -> std::vector<ConfigFault> {
  std::vector<ConfigFault> faults;
  for (const auto& [name, service] : snapshot.services) {
    CheckService(snapshot, service, faults);
  }
  CheckSparePools(snapshot, faults);
  std::sort(faults.begin(), faults.end());
  return faults;
}

auto UsersOf(const ConfigSnapshot& snapshot,
             ConfigKind kind,
             const std::string& name) -> std::vector<std::string> {
  std::vector<std::string> users;
  for (const auto& [service_name, service] : snapshot.services) {
    const bool uses =
        (kind == ConfigKind::kProfile && service.profile.value == name) ||
        (kind == ConfigKind::kPool && service.pool.value == name);
    if (uses) {
      users.push_back(ConfigKey(ConfigKind::kService, service_name.value));
    }
  }
  return users;
}

}  // namespace fireflythread
