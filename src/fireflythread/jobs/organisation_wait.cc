#include "fireflythread/jobs/organisation_wait.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <set>

#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {
namespace {

constexpr std::array<std::string_view, 3> kCauseNames = {"cap", "share",
                                                         "room"};

/// Less than any task asks for: a cap that leaves not even this is used up.
constexpr TaskSize kLeast{1, 1, 0};

auto CountWaitingJobs(const ShardState& state)
    -> std::map<OrganisationName, int> {
  std::map<OrganisationName, int> counts;
  for (const auto& [id, job] : state.jobs) {
    if (job.waiting > 0 && !IsFinal(job.progress.state) &&
        !job.request.organisation.empty()) {
      ++counts[job.request.organisation];
    }
  }
  return counts;
}

}  // namespace

auto WaitCauseName(WaitCause cause) -> std::string_view {
  return kCauseNames.at(static_cast<std::size_t>(cause));
}

auto FindOrganisationWaits(const ShardState& state, TimePoint now)
    -> std::vector<OrganisationWait> {
  const std::map<OrganisationName, int> counts = CountWaitingJobs(state);
  std::set<OrganisationName> competing;
  for (const auto& [name, count] : counts) {
    competing.insert(name);
  }
  const std::set<OrganisationName> over =
      FindOverShare(state.shares, competing, now);
  std::vector<OrganisationWait> waits;
  for (const auto& [name, count] : counts) {
    OrganisationWait wait;
    wait.organisation = name;
    wait.waiting_jobs = count;
    wait.held = SizeOf(state.quota.held, name);
    wait.limit = SizeOf(state.quota.grant.limits, name);
    if (state.quota.blocked.contains(name) ||
        !MayHold(state.quota, name, kLeast)) {
      wait.cause = WaitCause::kCap;
    } else if (over.contains(name)) {
      wait.cause = WaitCause::kShare;
    }
    waits.push_back(wait);
  }
  std::stable_sort(
      waits.begin(), waits.end(),
      [](const OrganisationWait& left, const OrganisationWait& right) -> bool {
        return left.waiting_jobs > right.waiting_jobs;
      });
  return waits;
}

}  // namespace fireflythread
