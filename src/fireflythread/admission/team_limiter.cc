#include "fireflythread/admission/team_limiter.h"

#include <algorithm>
#include <utility>

#include "fireflythread/routing/rendezvous.h"

namespace fireflythread {

namespace {

/// Size of a team's token bucket, in seconds at its rate.
constexpr double kBurstSeconds = 1.0;

auto Burst(double rate) -> double {
  return std::max(1.0, rate * kBurstSeconds);
}

}  // namespace

TeamLimiter::TeamLimiter(EntryId self_id, std::vector<EntryId> all_members)
    : self(std::move(self_id)), members(std::move(all_members)) {}

auto TeamLimiter::SetQuotas(const std::map<TeamName, TeamQuota>& quotas)
    -> void {
  for (auto& [name, team] : this->teams) {
    if (!quotas.contains(name)) {
      team.max_in_flight.reset();
      team.rate = 0;
    }
  }
  for (const auto& [name, quota] : quotas) {
    Team& team = this->teams[name];
    team.max_in_flight.reset();
    if (quota.max_in_flight > 0) {
      team.max_in_flight = MemberShare(quota.max_in_flight, name.value,
                                       this->self, this->members);
    }
    team.rate = quota.max_rate / static_cast<double>(this->members.size());
  }
}

auto TeamLimiter::Refill(Team& team, TimePoint now) -> void {
  if (team.refilled_at == TimePoint::min()) {
    team.tokens = Burst(team.rate);
  } else {
    const double seconds =
        std::chrono::duration<double>(now - team.refilled_at).count();
    team.tokens = std::min(Burst(team.rate), team.tokens + seconds * team.rate);
  }
  team.refilled_at = now;
}

auto TeamLimiter::TryAdmit(const TeamName& name, TimePoint now)
    -> std::optional<RefusalReason> {
  const auto found = this->teams.find(name);
  if (found == this->teams.end()) {
    return std::nullopt;
  }
  Team& team = found->second;
  if (team.max_in_flight && team.in_flight >= *team.max_in_flight) {
    return RefusalReason::kTeamInFlight;
  }
  if (team.rate > 0) {
    Refill(team, now);
    if (team.tokens < 1) {
      return RefusalReason::kTeamRate;
    }
    team.tokens -= 1;
  }
  ++team.in_flight;
  return std::nullopt;
}

auto TeamLimiter::Release(const TeamName& name) -> void {
  const auto found = this->teams.find(name);
  if (found != this->teams.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
  }
}

}  // namespace fireflythread
