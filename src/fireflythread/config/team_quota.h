#ifndef FIREFLYTHREAD_CONFIG_TEAM_QUOTA_H_
#define FIREFLYTHREAD_CONFIG_TEAM_QUOTA_H_

#include <cstdint>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Limits and weight of one team.
struct TeamQuota {
  TeamName name;
  std::uint64_t version = 0;
  /// Requests in flight over all entries; 0 means no limit.
  int max_in_flight = 0;
  /// Requests a second over all entries; 0 means no limit.
  double max_rate = 0;
  /// Share of the queue's service relative to other teams (0.01 to 100).
  double weight = 1.0;

  auto operator==(const TeamQuota&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_TEAM_QUOTA_H_
