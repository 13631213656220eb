#ifndef FIREFLYTHREAD_JOBS_ORGANISATION_QUOTA_H_
#define FIREFLYTHREAD_JOBS_ORGANISATION_QUOTA_H_

#include <map>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/organisation.h"
#include "fireflythread/quota/quota_grant.h"
#include "fireflythread/quota/quota_usage.h"

namespace fireflythread {

/// What a shard's owner knows of the organisations' caps: the grant that it
/// follows and what its runs hold of it.
struct OrganisationQuota {
  /// The caps that the configuration sets.
  std::map<OrganisationName, TaskSize> caps;
  /// What the runs of each organisation hold that exist or may exist.
  std::map<OrganisationName, TaskSize> held;
  /// Number 0 before the first one was read. Nothing of an organisation with a
  /// cap starts until then.
  QuotaGrant grant;
  /// Organisations that the grant kept from starting a task in the last
  /// planning step.
  std::set<OrganisationName> blocked;
};

/// Sets the caps of the configuration.
auto SetCaps(OrganisationQuota& quota,
             const std::vector<Organisation>& organisations) -> void;

/// Counts a run's resources, or takes them off.
auto AddHeld(OrganisationQuota& quota,
             const OrganisationName& organisation,
             const TaskSize& size) -> void;
auto RemoveHeld(OrganisationQuota& quota,
                const OrganisationName& organisation,
                const TaskSize& size) -> void;

/// Returns how many of these tasks an organisation's runs may hold besides what
/// they hold and `planned`.
[[nodiscard]] auto CountThatFit(const OrganisationQuota& quota,
                                const OrganisationName& organisation,
                                const TaskSize& planned,
                                const TaskSize& each,
                                int count) -> int;

/// Returns whether an organisation's runs may hold this much more.
[[nodiscard]] auto MayHold(const OrganisationQuota& quota,
                           const OrganisationName& organisation,
                           const TaskSize& more) -> bool;

/// Follows a grant unless it is older than the present one. Returns whether it
/// is newer.
auto FollowGrant(OrganisationQuota& quota, const QuotaGrant& grant) -> bool;

/// Returns what the organisations hold, and what those with a cap could start:
/// tasks that fit some worker, at most as much as the workers can hold.
[[nodiscard]] auto MeasureQuotaUsage(ShardState& state,
                                     WallTime wall_now,
                                     TimePoint now) -> QuotaUsage;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ORGANISATION_QUOTA_H_
