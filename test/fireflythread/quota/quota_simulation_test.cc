#include "test/fireflythread/quota/quota_simulation.h"

#include <catch2/catch.hpp>
#include <cstdint>

namespace fireflythread::test {
namespace {

constexpr std::uint64_t kSeeds = 60;

/// The operators' rule allows a tenth above the cap.
constexpr double kAllowedUse = 1.1;

/// A shard's usage, the new grants and the acknowledgement of lowered ones each
/// take a few steps.
constexpr int kMaxWait = 60;

auto WorstUseWith(QuotaSimulation::Defect defect) -> double {
  double worst = 0.0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation::Setup setup;
    setup.seed = seed;
    setup.defect = defect;
    QuotaSimulation simulation(setup);
    simulation.Run();
    worst = std::max(worst, simulation.WorstUse());
  }
  return worst;
}

TEST_CASE("Runs of all shards together stay within the cap", "[quota]") {
  // Guards against shards that each start tasks within what they believe to be
  // their part: owners and allocators are replaced, writes are late or their
  // answers lost.
  CHECK(WorstUseWith(QuotaSimulation::Defect::kNone) <= 1.0);
}

TEST_CASE("The simulation of caps notices each missing part of the protocol",
          "[quota]") {
  // Guards against a simulation that cannot fail.
  CHECK(WorstUseWith(QuotaSimulation::Defect::kNoAcknowledgement) > 1.0);
  CHECK(WorstUseWith(QuotaSimulation::Defect::kUsageForgotten) > 1.0);
  CHECK(WorstUseWith(QuotaSimulation::Defect::kLimitsIgnored) > 1.0);
}

TEST_CASE("A lowered cap holds once runs had time to end", "[quota]") {
  // Guards against starts that go on as the sum of what is held already exceeds
  // the new cap.
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    QuotaSimulation::Setup setup;
    setup.seed = seed;
    setup.changes_cap = true;
    QuotaSimulation simulation(setup);
    simulation.Run();
    CAPTURE(seed);
    CHECK(simulation.WorstUse() <= kAllowedUse);
  }
}

TEST_CASE("No shard waits for a cap that is free elsewhere", "[quota]") {
  // Guards against a cap that lies unused in shards without work while another
  // one has some.
  for (const int shards : {4, 12}) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      QuotaSimulation::Setup setup;
      setup.seed = seed;
      setup.shards = shards;
      QuotaSimulation simulation(setup);
      simulation.Run();
      CAPTURE(shards);
      CAPTURE(seed);
      CHECK(simulation.LongestWait() <= kMaxWait);
    }
  }
}

}  // namespace
}  // namespace fireflythread::test
