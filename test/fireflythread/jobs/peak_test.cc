#include <catch2/catch.hpp>

#include "test/fireflythread/jobs/peak_simulation.h"

namespace fireflythread::test {
namespace {

/// Minimum share of the workers' time that goes into jobs that meet their
/// objective while a queue's load is twice the capacity of its pool.
constexpr double kMinGoodput = 0.7;

TEST_CASE("A peak above the pool's capacity does not make every job late",
          "[jobs]") {
  // Queues that peak in turn. Guards against a queue in which each job has
  // already missed its objective when it starts.
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
    PeakSimulation::Load load;
    load.seed = seed;
    PeakSimulation simulation(load);
    simulation.Run();
    CAPTURE(seed);
    CHECK(simulation.GoodputShare() >= kMinGoodput);
  }
}

TEST_CASE("Wide jobs are in time at least half as often as all jobs in a peak",
          "[jobs]") {
  // Guards against small jobs that fill each gap before a wide job fits.
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
