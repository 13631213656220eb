#include "fireflythread/jobs/organisation_shares.h"

#include <catch2/catch.hpp>
#include <string>

#include "test/fireflythread/jobs/peak_simulation.h"

namespace fireflythread::test {
namespace {

using Name = OrganisationName;

constexpr std::uint64_t kSeeds = 5;

/// Ten organisations that send as much as their weights say, except that the
/// first sends `factor` times as much.
auto BurstOfOne(double factor) -> PeakSimulation::Load {
  PeakSimulation::Load load;
  load.workers = 20;
  for (int index = 0; index < 10; ++index) {
    PeakSimulation::OrganisationLoad organisation;
    organisation.name = "o" + std::to_string(index);
    organisation.demand = index == 0 ? factor : 1.0;
    load.organisations.push_back(organisation);
  }
  load.overload = 0.8 * (9.0 + factor) / 10.0;
  return load;
}

TEST_CASE("A burst of one organisation delays only that organisation",
          "[jobs]") {
  // One organisation sends 7.5 times its usual, so that 1.3 times the capacity
  // arrives; the others alone would need 0.72 of it. Guards against jobs of all
  // organisations of a queue that are late together.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PeakSimulation::Load load = BurstOfOne(7.5);
    load.seed = seed;
    PeakSimulation simulation(load);
    simulation.Run();
    CAPTURE(seed);
    for (int index = 1; index < 10; ++index) {
      CAPTURE(index);
      CHECK(simulation.InTimeShare("o" + std::to_string(index)) >= 0.9);
    }
  }
}

TEST_CASE("An organisation with wide steps gets as much as one with small ones",
          "[jobs]") {
  // Two equal organisations, each of which sends what the pool can run. Guards
  // against shares counted in jobs or tasks, and against wide steps that find
  // no room because of many small ones.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PeakSimulation::Load load;
    load.seed = seed;
    load.workers = 20;
    load.organisations = {{"wide", 1.0, 1.0, milliseconds(0), 16},
                          {"small", 1.0, 4.0, milliseconds(0), 4}};
    PeakSimulation simulation(load);
    simulation.Run();
    CAPTURE(seed);
    CHECK(simulation.InTimeShare("wide") >= 0.3);
    CHECK(simulation.InTimeShare("small") >= 0.3);
  }
}

TEST_CASE("An organisation that was away neither owes nor is owed", "[jobs]") {
  // Guards against a returning organisation that takes the whole pool for the
  // time that it was away, and against one that still pays for an old burst.
  OrganisationShares shares;
  SetOrganisations(shares, {{Name("busy"), 1.0}, {Name("back"), 1.0}});
  TimePoint now{std::chrono::hours(1)};
  for (int second = 0; second < 60; ++second) {
    AddStartedWork(shares, Name("busy"), 100'000, milliseconds(1000), now);
    now += milliseconds(1000);
  }
  const std::set<Name> both{Name("busy"), Name("back")};
  CHECK(FindOverShare(shares, both, now) == std::set<Name>{Name("busy")});
  // After twelve seconds at equal pace the minute before has no weight left.
  for (int second = 0; second < 12; ++second) {
    AddStartedWork(shares, Name("busy"), 100'000, milliseconds(1000), now);
    AddStartedWork(shares, Name("back"), 100'000, milliseconds(1000), now);
    now += milliseconds(1000);
  }
  CHECK(FindOverShare(shares, both, now).empty());
}

TEST_CASE("Weights decide who is over its share", "[jobs]") {
  OrganisationShares shares;
  std::map<Name, double> weights{{Name("light"), 1.0}};
  std::set<Name> all{Name("light")};
  const TimePoint now{std::chrono::hours(1)};
  for (int index = 0; index < 19; ++index) {
    const Name name("heavy" + std::to_string(index));
    weights.emplace(name, 100.0);
    all.insert(name);
  }
  SetOrganisations(shares, weights);
  for (const Name& name : all) {
    AddStartedWork(shares, name, 100'000, milliseconds(1000), now);
  }
  CHECK(FindOverShare(shares, all, now) == std::set<Name>{Name("light")});
  // Nobody competes with the light one.
  CHECK(FindOverShare(shares, {Name("light")}, now).empty());
}

TEST_CASE("One large job does not bring an organisation over its share",
          "[jobs]") {
  // Guards against an organisation that rarely sends a job and waits behind all
  // others for the second task of it.
  OrganisationShares shares;
  SetOrganisations(shares, {{Name("rare"), 1.0}, {Name("usual"), 99.0}});
  const TimePoint now{std::chrono::hours(1)};
  AddStartedWork(shares, Name("usual"), 100'000, milliseconds(1000), now);
  AddStartedWork(shares, Name("rare"), 12'000, milliseconds(1500), now);
  CHECK(FindOverShare(shares, {Name("rare"), Name("usual")}, now).empty());
}

TEST_CASE("Without configured organisations nothing is counted", "[jobs]") {
  OrganisationShares shares;
  const TimePoint now{std::chrono::hours(1)};
  AddStartedWork(shares, Name("a"), 100'000, milliseconds(1000), now);
  CHECK(shares.started.empty());
  SetOrganisations(shares, {{Name("a"), 1.0}});
  AddStartedWork(shares, Name("a"), 100'000, milliseconds(1000), now);
  SetOrganisations(shares, {{Name("b"), 1.0}});
  CHECK(shares.started.empty());
}

}  // namespace
}  // namespace fireflythread::test
