#ifndef FIREFLYTHREAD_ADMISSION_TEAM_LIMITER_H_
#define FIREFLYTHREAD_ADMISSION_TEAM_LIMITER_H_

#include <map>
#include <optional>
#include <vector>

#include "fireflythread/admission/refusal_reason.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/config/team_quota.h"

namespace fireflythread {

/// Enforces this entry's share of each team's quota. The shares of all entries
/// add up to the quota, so entries need not exchange messages per request.
class TeamLimiter {
 public:
  TeamLimiter(EntryId self, std::vector<EntryId> members);

  /// Replaces the quotas. Requests in flight continue to count.
  auto SetQuotas(const std::map<TeamName, TeamQuota>& quotas) -> void;

  /// Admits and counts a request, which returns no value, or returns the limit
  /// that the request would exceed.
  [[nodiscard]] auto TryAdmit(const TeamName& team, TimePoint now)
      -> std::optional<RefusalReason>;

  /// Ends the count of a request that TryAdmit() admitted.
  auto Release(const TeamName& team) -> void;

 private:
  struct Team {
    /// No value when the quota is 0, which means no limit.
    std::optional<int> max_in_flight;
    double rate = 0;
    double tokens = 0;
    TimePoint refilled_at = TimePoint::min();
    int in_flight = 0;
  };

  static auto Refill(Team& team, TimePoint now) -> void;

  EntryId self;
  std::vector<EntryId> members;
  std::map<TeamName, Team> teams;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_TEAM_LIMITER_H_
