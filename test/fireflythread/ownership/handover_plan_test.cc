#include "fireflythread/ownership/handover_plan.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <random>
#include <set>
#include <string>

#include "test/fireflythread/ownership/entry_cluster.h"

namespace fireflythread::test {
namespace {

constexpr EntryCapacity kLarge{500, 200};
constexpr EntryCapacity kSmall{120, 10};

auto Shards(int count) -> std::set<ShardName> {
  std::set<ShardName> shards;
  for (int index = 0; index < count; ++index) {
    shards.insert(ShardName("p" + std::to_string(index)));
  }
  return shards;
}

/// Returns a cluster in which a small entry has owned the shards "p0", "p1" and
/// so on for about 20 s, and the row of a large entry has just been read.
auto MakeClusterWithNewLargeEntry(int shards) -> EntryCluster {
  EntryCluster cluster(Shards(shards));
  cluster.Start("small", kSmall);
  cluster.Tick(20);
  cluster.Start("large", kLarge);
  cluster.Tick();
  return cluster;
}

TEST_CASE("A shard moves back to a larger entry once that is stable",
          "[ownership]") {
  // Guards against a pool that stays on a small entry for a whole day after a
  // takeover, and against a move to a process that has just started.
  EntryCluster cluster = MakeClusterWithNewLargeEntry(1);
  cluster.Tick(4);
  CHECK(cluster.handovers.empty());
  CHECK(cluster.OwnerOf("p0") == "small");
  cluster.Tick();
  REQUIRE(cluster.handovers.size() == 1);
  CHECK(cluster.handovers[0].preferred == EntryId("large"));
  CHECK(cluster.handovers[0].own_load.capacity == 120);
  CHECK(cluster.handovers[0].preferred_load.capacity == 500);
  CHECK(cluster.OwnerOf("p0") == "large");
  cluster.Tick(60);
  CHECK(cluster.handovers.size() == 1);
}

TEST_CASE("Shards move one at a time", "[ownership]") {
  // Guards against an entry that has to load all its pools at the same time.
  EntryCluster cluster = MakeClusterWithNewLargeEntry(4);
  cluster.Tick(5);
  CHECK(cluster.handovers.size() == 1);
  cluster.Tick();
  CHECK(cluster.handovers.size() == 2);
}

TEST_CASE("A shard does not move for a small gain in capacity", "[ownership]") {
  EntryCluster cluster(Shards(1));
  cluster.Start("a", {300, 200});
  cluster.Tick(20);
  cluster.Start("b", {599, 200});
  cluster.Tick(30);
  CHECK(cluster.handovers.empty());
  cluster.Start("c", {600, 200});
  cluster.Tick(30);
  CHECK(cluster.OwnerOf("p0") == "c");
}

/// Returns whether the entry "small" plans a handover once the large entry has
/// been alive for long enough, after `change` has modified its state.
template <typename Change>
auto PlanAfter(Change change) -> bool {
  EntryCluster cluster = MakeClusterWithNewLargeEntry(2);
  cluster.Tick(4);
  cluster.now += std::chrono::milliseconds(1000);
  OwnershipState state = cluster.View("small");
  change(state, cluster.now);
  return NextHandover(state, cluster.now).has_value();
}

TEST_CASE("A shard moves only when the rows are complete and recent",
          "[ownership]") {
  // Guards against a handover by an entry that does not know the current
  // owners, and against two shards without an owner at the same time.
  using State = OwnershipState;
  CHECK(PlanAfter([](State&, TimePoint) {}));
  CHECK_FALSE(PlanAfter([](State& state, TimePoint now) {
    state.entries_read_at = now - kMaxRowAge;
  }));
  CHECK_FALSE(PlanAfter([](State& state, TimePoint) {
    state.wanted.insert(ShardName("orphan"));
  }));
  CHECK_FALSE(
      PlanAfter([](State& state, TimePoint) { state.stopping = true; }));
  CHECK_FALSE(
      PlanAfter([](State& state, TimePoint) { state.shards_read = false; }));
  CHECK_FALSE(PlanAfter([](State& state, TimePoint now) {
    state.entries.at(EntryId("small")).changed_at = now - kEntryTimeout;
  }));
  CHECK_FALSE(PlanAfter([](State& state, TimePoint now) {
    state.entries.at(EntryId("large")).changed_at = now - kEntryTimeout;
  }));
  CHECK_FALSE(PlanAfter([](State& state, TimePoint now) {
    state.entries.at(EntryId("large")).changed_at = now - kMaxRowAge;
  }));
  CHECK_FALSE(PlanAfter([](State& state, TimePoint) {
    state.entries.at(EntryId("large")).stopping = true;
  }));
}

TEST_CASE("A recently acquired shard does not move", "[ownership]") {
  // Guards against another move of a shard that its owner is still loading.
  const auto set_owned_since = [](OwnershipState& state,
                                  TimePoint owned_since) {
    for (auto& [name, shard] : state.shards) {
      shard.changed_at = owned_since;
    }
  };
  CHECK_FALSE(PlanAfter([&](OwnershipState& state, TimePoint now) {
    set_owned_since(state, now - kMinStableTime + std::chrono::milliseconds(1));
  }));
  CHECK(PlanAfter([&](OwnershipState& state, TimePoint now) {
    set_owned_since(state, now - kMinStableTime);
  }));
}

TEST_CASE("A restarted entry gets no shard until it is stable", "[ownership]") {
  // Guards against shards moving to an entry that restarts repeatedly.
  EntryCluster cluster = MakeClusterWithNewLargeEntry(1);
  for (int restart = 0; restart < 10; ++restart) {
    cluster.Tick(4);
    cluster.Start("large", kLarge);
  }
  CHECK(cluster.handovers.empty());
}

TEST_CASE("An entry is not stable after a gap in its renewals", "[ownership]") {
  // Guards against shards moving to an entry whose store calls fail
  // intermittently.
  EntryCluster cluster = MakeClusterWithNewLargeEntry(1);
  cluster.Tick(1);
  OwnershipState paused = cluster.View("large");
  cluster.Kill("large");
  cluster.Tick(3);
  cluster.Start("large", kLarge);
  cluster.View("large").incarnation = paused.incarnation;
  cluster.Tick(5);
  CHECK(cluster.handovers.empty());
  cluster.Tick(1);
  CHECK(cluster.handovers.size() == 1);
}

/// Checks that handovers cease within 90 s and that every shard has an owner.
auto CheckConverges(EntryCluster& cluster, int shards) -> void {
  cluster.Tick(90);
  const std::size_t moved = cluster.handovers.size();
  cluster.Tick(60);
  CHECK(cluster.handovers.size() == moved);
  for (const ShardName& shard : Shards(shards)) {
    CHECK_FALSE(cluster.OwnerOf(shard.value).empty());
  }
}

TEST_CASE("Shards do not move back and forth", "[ownership]") {
  // Guards against endless handovers, including the case that several entries
  // hand over at the same time on the basis of the same rows.
  constexpr int kShards = 6;
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    EntryCluster cluster(Shards(kShards));
    const int entries = 2 + static_cast<int>(random() % 6);
    for (int entry = 0; entry < entries; ++entry) {
      const int cores = 60 + static_cast<int>(random() % 1000);
      const int mbps = 5 + static_cast<int>(random() % 200);
      cluster.Start("e" + std::to_string(entry), {cores, mbps});
      cluster.Tick(static_cast<int>(random() % 3));
    }
    INFO("seed " << seed);
    CheckConverges(cluster, kShards);
    const std::string killed = "e" + std::to_string(random() % entries);
    cluster.Kill(killed);
    CheckConverges(cluster, kShards);
    cluster.Start(killed, kLarge);
    CheckConverges(cluster, kShards);
    // Each shard moves at most once for each entry that starts.
    CHECK(cluster.handovers.size() <= std::size_t{kShards} * (entries + 1));
  }
}

TEST_CASE("A shard that is handed over goes to the preferred entry",
          "[ownership]") {
  // Guards against a release after which another small entry claims the shard.
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    EntryCluster cluster(Shards(4));
    cluster.Start("first", kSmall);
    cluster.Tick(10);
    for (int entry = 0; entry < 5; ++entry) {
      const int cores = 60 + static_cast<int>(random() % 1000);
      cluster.Start("e" + std::to_string(entry), {cores, 200});
    }
    // There is a single owner, so no two shards are released at the same time.
    cluster.Tick(7);
    INFO("seed " << seed);
    CHECK(cluster.misdirected == 0);
  }
}

}  // namespace
}  // namespace fireflythread::test
