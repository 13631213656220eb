#include <catch2/catch.hpp>
#include <string>

#include "test/fireflythread/jobs/peak_simulation.h"

namespace fireflythread::test {
namespace {

constexpr std::uint64_t kSeeds = 5;

/// Long enough for a backlog beyond three times the objective of most jobs.
constexpr milliseconds kLongPeak{18000};

/// Ten organisations of equal weight, the first of which sends `factor` times
/// as much as each other. The others alone need 0.72 of the capacity.
auto BurstOfOne(double factor, std::uint64_t seed) -> PeakSimulation::Load {
  PeakSimulation::Load load;
  load.workers = 20;
  load.length = kLongPeak;
  load.admission = true;
  load.seed = seed;
  for (int index = 0; index < 10; ++index) {
    PeakSimulation::OrganisationLoad organisation;
    organisation.name = "o" + std::to_string(index);
    organisation.demand = index == 0 ? factor : 1.0;
    load.organisations.push_back(organisation);
  }
  load.overload = 0.8 * (9.0 + factor) / 10.0;
  return load;
}

TEST_CASE("A burst of one organisation has only its own jobs refused",
          "[jobs]") {
  // One organisation sends 7.5 times its usual, so that 1.3 times the capacity
  // arrives. Guards against jobs of the others that are refused for it.
  int refused = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PeakSimulation simulation(BurstOfOne(7.5, seed));
    simulation.Run();
    CAPTURE(seed);
    for (int index = 1; index < 10; ++index) {
      CAPTURE(index);
      CHECK(simulation.Refusals("o" + std::to_string(index)) == 0);
    }
    refused += simulation.Refusals("o0");
    CHECK(simulation.Refusals() == simulation.Refusals(RefusalCause::kShare));
  }
  // Some of its jobs would wait beyond their use.
  CHECK(refused > 0);
}

TEST_CASE("In a peak of twice the capacity the excess is refused", "[jobs]") {
  // Guards against jobs that are accepted although they can't be of use, and
  // against refusals of what the workers can complete.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PeakSimulation::Load load = BurstOfOne(1.0, seed);
    load.overload = 2.0;
    PeakSimulation simulation(load);
    simulation.Run();
    load.admission = false;
    PeakSimulation without(load);
    without.Run();
    int submitted = 0;
    for (const auto& organisation : load.organisations) {
      submitted += simulation.Submissions(organisation.name);
    }
    CAPTURE(seed, submitted, simulation.Refusals(), simulation.UsefulShare(),
            without.UsefulShare(), simulation.GoodputShare(),
            without.GoodputShare());
    CHECK(simulation.Refusals() > 0);
    // The workers can complete half of the work.
    CHECK(simulation.Refusals() <= submitted / 2);
    CHECK(simulation.UsefulShare() > without.UsefulShare());
  }
}

TEST_CASE("Nothing is refused while the workers keep up", "[jobs]") {
  // Guards against refusals at a usual load with its short bursts, and in a
  // peak after which all jobs are still of use.
  PeakSimulation::Load load = BurstOfOne(1.0, 1);
  SECTION("a load of eight tenths") {}
  SECTION("a short peak of 1.5 times the capacity") {
    load.overload = 1.5;
    load.length = milliseconds(2000);
  }
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    load.seed = seed;
    PeakSimulation simulation(load);
    simulation.Run();
    CAPTURE(seed);
    CHECK(simulation.Refusals() == 0);
  }
}

TEST_CASE("Refused clients that return after a peak find room", "[jobs]") {
  // A peak of three times the capacity. Guards against clients that return
  // together, or before the work ahead of them is done, and are refused again.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    PeakSimulation::Load load = BurstOfOne(1.0, seed);
    load.overload = 3.0;
    load.length = milliseconds(4500);
    load.retries = true;
    PeakSimulation simulation(load);
    simulation.Run();
    CAPTURE(seed, simulation.Refusals(), simulation.LateSubmissions(),
            simulation.LateRefusals(), simulation.MostLateSubmissions());
    REQUIRE(simulation.LateSubmissions() > 0);
    CHECK(simulation.LateRefusals() == 0);
    CHECK(2 * simulation.MostLateSubmissions() <= simulation.LateSubmissions());
  }
}

TEST_CASE("Without organisations nothing is refused", "[jobs]") {
  // Guards against a changed service where the configuration has none.
  PeakSimulation::Load load;
  load.overload = 3.0;
  load.length = kLongPeak;
  load.admission = true;
  PeakSimulation simulation(load);
  simulation.Run();
  CHECK(simulation.Refusals() == 0);
}

}  // namespace
}  // namespace fireflythread::test
