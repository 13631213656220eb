#include "fireflythread/jobs/organisation_shares.h"

#include <cmath>
#include <vector>

namespace fireflythread {

using std::chrono::milliseconds;

namespace {

/// Long enough for the order not to follow single jobs, and shorter than a load
/// peak, so that a burst delays its own organisation from its beginning.
constexpr milliseconds kStartedWorkHalfLife{3000};

/// An organisation is over its share when it got this many times as much.
/// Between competitors at about their shares the deadlines alone decide.
constexpr double kTolerance = 1.5;

/// Work beyond its share, in thousandths of a core times milliseconds, that an
/// organisation may always have: one large job of an organisation that rarely
/// sends any. 20 core seconds.
constexpr double kMinExcess = 20'000.0 * 1000.0;

auto DecayedWork(const StartedWork& started, TimePoint now) -> double {
  const std::chrono::duration<double> age = now - started.updated_at;
  const std::chrono::duration<double> half_life = kStartedWorkHalfLife;
  return started.work * std::exp2(-age.count() / half_life.count());
}

/// An organisation with its weight and its recent work.
struct Competitor {
  const OrganisationName* name = nullptr;
  double weight = 0.0;
  double work = 0.0;
};

}  // namespace

auto SetOrganisations(OrganisationShares& shares,
                      const std::map<OrganisationName, double>& weights)
    -> void {
  shares.weights = weights;
  std::erase_if(shares.started, [&weights](const auto& entry) -> bool {
    return !weights.contains(entry.first);
  });
}

auto AddStartedWork(OrganisationShares& shares,
                    const OrganisationName& organisation,
                    std::int64_t millicores,
                    milliseconds run_time,
                    TimePoint now) -> void {
  if (!shares.weights.contains(organisation)) {
    return;
  }
  StartedWork& started = shares.started[organisation];
  started.work =
      DecayedWork(started, now) +
      static_cast<double>(millicores) * static_cast<double>(run_time.count());
  started.updated_at = now;
}

auto FindOverShare(const OrganisationShares& shares,
                   const std::set<OrganisationName>& competing,
                   TimePoint now) -> std::set<OrganisationName> {
  std::vector<Competitor> competitors;
  double weights = 0.0;
  double work = 0.0;
  for (const OrganisationName& name : competing) {
    const auto weight = shares.weights.find(name);
    if (weight == shares.weights.end()) {
      continue;
    }
    const auto started = shares.started.find(name);
    const double recent = started == shares.started.end()
                              ? 0.0
                              : DecayedWork(started->second, now);
    competitors.push_back({&name, weight->second, recent});
    weights += weight->second;
    work += recent;
  }
  std::set<OrganisationName> over;
  if (competitors.size() < 2) {
    return over;
  }
  for (const Competitor& each : competitors) {
    const double share = weights > 0.0 ? each.weight / weights : 0.0;
    const double fair = share * work;
    if (each.work > kTolerance * fair && each.work > fair + kMinExcess) {
      over.insert(*each.name);
    }
  }
  return over;
}

auto StartedMillicores(const OrganisationShares& shares,
                       const std::set<OrganisationName>& except,
                       TimePoint now) -> double {
  double work = 0.0;
  for (const auto& [name, started] : shares.started) {
    if (!except.contains(name)) {
      work += DecayedWork(started, now);
    }
  }
  // Work at a constant rate adds up to that of the mean life of a decay.
  const std::chrono::duration<double, std::milli> half_life =
      kStartedWorkHalfLife;
  return work * std::log(2.0) / half_life.count();
}

}  // namespace fireflythread
