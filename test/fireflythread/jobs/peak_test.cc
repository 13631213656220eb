#include <catch2/catch.hpp>

#include "test/fireflythread/jobs/peak_simulation.h"

namespace fireflythread::test {
namespace {

/// Share of the workers' time that is to go into jobs that meet their
/// objective while a queue asks for twice what its pool holds.
constexpr double kMinGoodput = 0.7;

TEST_CASE("A peak above the pool's size does not make every job late",
          "[jobs]") {
  // The load of queues that peak by turns. Guards against a queue in which
  // each job waits until it has missed its objective before it starts.
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
    PeakSimulation::Load load;
    load.seed = seed;
    PeakSimulation simulation(load);
    simulation.Run();
    CAPTURE(seed);
    CHECK(simulation.GoodputShare() >= kMinGoodput);
  }
}

TEST_CASE("Wide jobs are served at least half as often in a peak", "[jobs]") {
  // Guards against small jobs that fill each gap before a wide one fits.
  constexpr int kWide = 15;
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
    PeakSimulation::Load load;
    load.seed = seed;
    PeakSimulation simulation(load);
    simulation.Run();
    CAPTURE(seed);
    CHECK(simulation.InTimeShare(kWide) >= 0.5 * simulation.InTimeShare(0));
  }
}

}  // namespace
}  // namespace fireflythread::test
