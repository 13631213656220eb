#include <catch2/catch.hpp>
#include <chrono>

#include "test/fireflythread/membership/cell_simulation.h"

namespace fireflythread {

namespace {

using testing::CellPolicy;
using testing::CellSimulation;

constexpr Duration kLength = std::chrono::seconds(150);
constexpr std::uint64_t kFirstSeed = 20261204;

/// The first violation over some schedules with this policy.
auto FindViolation(CellPolicy policy) -> std::string {
  constexpr std::uint64_t kSchedules = 300;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kSchedules;
       ++seed) {
    CellSimulation simulation(seed, policy);
    simulation.Run(kLength);
    if (!simulation.violation.empty()) {
      return simulation.violation;
    }
  }
  return {};
}

}  // namespace

// Guards against an entry that serves by a configuration older than an
// accepted one, and against sends for two pools to one VM, under delays,
// duplicates, losses, freezes, cuts, deaths and store outages. The events are
// those of model/config.pml and model/move.pml.
TEST_CASE("a cell keeps accepted versions and drains under random schedules") {
  int sends = 0;
  int accepted = 0;
  int moves = 0;
  int recoveries = 0;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + 60; ++seed) {
    CellSimulation simulation(seed, {});
    simulation.Run(kLength);
    INFO("seed " << seed);
    REQUIRE(simulation.violation.empty());
    sends += simulation.sends;
    accepted += simulation.accepted_versions;
    moves += simulation.moves;
    recoveries += simulation.quorum_recoveries;
  }
  // The schedules reach what they are about.
  CHECK(sends > 1000);
  CHECK(accepted > 100);
  CHECK(moves > 60);
  CHECK(recoveries > 10);
}

// Guards against schedules too tame to notice a missing defence.
TEST_CASE("each missing defence of a cell is detected") {
  CellPolicy policy;
  SECTION("confirmations dated to the answer") {
    policy.date_to_answer = true;
  }
  SECTION("recovering entries vouch") {
    policy.vouch_while_recovering = true;
  }
  SECTION("recovery from one peer") {
    policy.recover_from_one = true;
  }
  SECTION("sends without the freshness check") {
    policy.no_freshness_check = true;
  }
  SECTION("moves without acknowledgements") {
    policy.no_drain_ack = true;
  }
  CHECK_FALSE(FindViolation(policy).empty());
}

// Guards against acceptance by reports of different moments. The schedule was
// found by a search over seeds: members report a version, restart and recover
// an older one before the rest of the majority reports it.
TEST_CASE("acceptance by single reports is detected") {
  constexpr std::uint64_t kSeed = 1118;
  CellPolicy policy;
  policy.accept_single_reports = true;
  CellSimulation broken(kSeed, policy);
  broken.Run(kLength);
  CHECK_FALSE(broken.violation.empty());
  CellSimulation sound(kSeed, {});
  sound.Run(kLength);
  CHECK(sound.violation.empty());
}

}  // namespace fireflythread
