#ifndef FIREFLYTHREAD_JOBS_ORGANISATION_SHARES_H_
#define FIREFLYTHREAD_JOBS_ORGANISATION_SHARES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// The work that was started for an organisation lately: cores, in thousandths,
/// times milliseconds. It decays by half in each kStartedWorkHalfLife.
struct StartedWork {
  double work = 0.0;
  TimePoint updated_at;
};

/// What the owner of a shard knows about the organisations whose jobs compete
/// for its workers.
struct OrganisationShares {
  /// Weights of the configured organisations; empty where the configuration has
  /// none. Then no shares are kept.
  std::map<OrganisationName, double> weights;
  std::map<OrganisationName, StartedWork> started;
};

/// Replaces the weights. Started work of organisations that are not configured
/// any more is forgotten.
auto SetOrganisations(OrganisationShares& shares,
                      const std::map<OrganisationName, double>& weights)
    -> void;

/// Adds the expected work of a task that is started.
auto AddStartedWork(OrganisationShares& shares,
                    const OrganisationName& organisation,
                    std::int64_t millicores,
                    std::chrono::milliseconds run_time,
                    TimePoint now) -> void;

/// Returns those of the competing organisations that got clearly more than
/// their share lately, by their weights among the competing ones. An
/// organisation that was away has no claim for that time, as started work
/// decays. With fewer than two organisations the result is empty.
[[nodiscard]] auto FindOverShare(const OrganisationShares& shares,
                                 const std::set<OrganisationName>& competing,
                                 TimePoint now) -> std::set<OrganisationName>;

/// Returns the cores, in thousandths, that the work started lately for the
/// organisations beside these takes on average.
[[nodiscard]] auto StartedMillicores(const OrganisationShares& shares,
                                     const std::set<OrganisationName>& except,
                                     TimePoint now) -> double;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ORGANISATION_SHARES_H_
