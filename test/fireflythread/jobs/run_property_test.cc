#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "test/fireflythread/jobs/run_simulation.h"

namespace fireflythread::test {
namespace {

constexpr std::chrono::seconds kTrouble{40};
constexpr std::chrono::seconds kCalm{60};

/// Returns a number from the environment, for a long run by hand.
auto NumberFrom(const char* name, std::uint64_t fallback) -> std::uint64_t {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

TEST_CASE("No task has two runs and each one runs whatever is lost or late",
          "[jobs]") {
  // Guards against a run that is given up while it goes on, and against a task
  // that waits for ever, through changes of owner, pauses, cuts and restarts.
  const std::uint64_t first = NumberFrom("RUN_PROPERTY_FIRST", 1);
  const std::uint64_t count = NumberFrom("RUN_PROPERTY_COUNT", 200);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    RunSimulation simulation(seed);
    simulation.Play(kTrouble, kCalm);
    INFO("seed " << seed);
    CHECK(simulation.ledger.breaches == std::vector<std::string>());
    CHECK(simulation.UnfinishedTasks() == std::vector<std::string>());
    CHECK(simulation.ledger.Count() > 0);
  }
}

}  // namespace
}  // namespace fireflythread::test
