#include "fireflythread/admission/team_limiter.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace fireflythread {

namespace {

const TimePoint kStart{std::chrono::hours(1)};
const TeamName kTeam("masons");

auto EightMembers() -> std::vector<EntryId> {
  std::vector<EntryId> members;
  for (int i = 1; i <= 8; ++i) {
    members.emplace_back("entry-" + std::to_string(i));
  }
  return members;
}

auto Quota(int max_in_flight, double max_rate) -> TeamQuota {
  TeamQuota quota;
  quota.name = kTeam;
  quota.max_in_flight = max_in_flight;
  quota.max_rate = max_rate;
  return quota;
}

}  // namespace

// Guards against entries that together exceed the quota, e.g. because each
// rounds its share up.
TEST_CASE("the entries' shares add up to the team's quota") {
  for (const int quota : {4, 8, 13}) {
    int admitted = 0;
    for (const EntryId& self : EightMembers()) {
      TeamLimiter limiter(self, EightMembers());
      limiter.SetQuotas({{kTeam, Quota(quota, 0)}});
      while (!limiter.TryAdmit(kTeam, kStart)) {
        ++admitted;
      }
      CHECK(limiter.TryAdmit(kTeam, kStart) == RefusalReason::kTeamInFlight);
    }
    CHECK(admitted == quota);
  }
}

// Guards against requests that count as in flight after their release, and
// against tokens that accumulate without limit while a team is idle.
TEST_CASE("released requests and refilled tokens allow new requests") {
  TeamLimiter limiter(EntryId("entry-1"), {EntryId("entry-1")});
  limiter.SetQuotas({{kTeam, Quota(1, 2)}});
  CHECK_FALSE(limiter.TryAdmit(kTeam, kStart));
  CHECK(limiter.TryAdmit(kTeam, kStart) == RefusalReason::kTeamInFlight);
  limiter.Release(kTeam);
  CHECK_FALSE(limiter.TryAdmit(kTeam, kStart));
  limiter.Release(kTeam);
  CHECK(limiter.TryAdmit(kTeam, kStart) == RefusalReason::kTeamRate);
  const TimePoint later = kStart + std::chrono::hours(1);
  int admitted = 0;
  while (!limiter.TryAdmit(kTeam, later)) {
    limiter.Release(kTeam);
    ++admitted;
  }
  CHECK(admitted == 2);
}

}  // namespace fireflythread
