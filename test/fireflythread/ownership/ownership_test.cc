#include "fireflythread/ownership/ownership.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

auto EntryRow(const std::string& id, int incarnation, std::uint64_t version)
    -> Row {
  return {std::string(kEntryTable), id, version,
          R"({"incarnation":)" + std::to_string(incarnation) +
              R"(,"stopping":false})"};
}

/// Returns the row of an entry that publishes its capacity.
auto EntryRowWithCapacity(const std::string& id,
                          int millicores,
                          int link_mbps,
                          std::uint64_t version) -> Row {
  return {std::string(kEntryTable), id, version,
          R"({"incarnation":1,"stopping":false,"cpu_millicores":)" +
              std::to_string(millicores) + R"(,"link_mbps":)" +
              std::to_string(link_mbps) + "}"};
}

auto ShardRow(const std::string& shard,
              const std::string& owner,
              int incarnation,
              std::uint64_t version) -> Row {
  return {std::string(kShardTable), shard, version,
          R"({"owner":")" + owner + R"(","incarnation":)" +
              std::to_string(incarnation) + "}"};
}

/// Returns the state of an entry that knows the entries "a" to "d" and must
/// have an owner for each of the shards "p" to "s".
auto MakeState(const std::string& self, TimePoint now) -> OwnershipState {
  OwnershipState state;
  state.self = EntryId(self);
  state.incarnation = 1;
  for (const char* shard : {"p", "q", "r", "s"}) {
    state.wanted.insert(ShardName(shard));
  }
  state.shards_read = true;
  ApplyEntryRows(state,
                 {EntryRow("a", 1, 1), EntryRow("b", 1, 2), EntryRow("c", 1, 3),
                  EntryRow("d", 1, 4)},
                 now);
  return state;
}

TEST_CASE("Entries distribute the shards evenly without communicating",
          "[ownership]") {
  // Guards against one entry that claims all shards when all entries start at
  // the same time.
  const TimePoint now{std::chrono::hours(1)};
  std::size_t claimed = 0;
  for (const char* entry : {"a", "b", "c", "d"}) {
    const auto claims = NextClaims(MakeState(entry, now), now);
    CHECK(claims.size() == 1);
    claimed += claims.size();
  }
  CHECK(claimed == 4);
}

/// Returns the number of claims that each entry makes from the same rows.
auto ClaimsOfAll(const std::vector<Row>& entries,
                 const std::set<ShardName>& shards,
                 TimePoint now) -> std::map<std::string, std::size_t> {
  std::map<std::string, std::size_t> claims;
  for (const Row& row : entries) {
    OwnershipState state;
    state.self = EntryId(row.key);
    state.incarnation = 1;
    state.wanted = shards;
    state.shards_read = true;
    ApplyEntryRows(state, entries, now);
    claims[row.key] = NextClaims(state, now).size();
  }
  return claims;
}

TEST_CASE("Shards are claimed by the entries with the most free capacity",
          "[ownership]") {
  // Guards against a pool with a high peak load on the smallest entry. The
  // duties count as a shard like any other.
  const TimePoint now{std::chrono::hours(1)};
  const auto claims = ClaimsOfAll(
      {EntryRowWithCapacity("large", 500, 200, 1),
       EntryRowWithCapacity("older", 0, 0, 2), EntryRow("oldest", 1, 3),
       EntryRowWithCapacity("small", 120, 10, 4)},
      {ShardName("@duties"), ShardName("p"), ShardName("q"), ShardName("r"),
       ShardName("s")},
      now);
  CHECK(claims == std::map<std::string, std::size_t>{
                      {"large", 4}, {"older", 0}, {"oldest", 0}, {"small", 1}});
}

TEST_CASE("A slow network link limits the capacity of an entry",
          "[ownership]") {
  // Guards against a pool on an entry whose network link cannot carry the
  // workers' reports.
  const TimePoint now{std::chrono::hours(1)};
  const auto claims =
      ClaimsOfAll({EntryRowWithCapacity("a", 500, 10, 1),
                   EntryRowWithCapacity("b", 400, 200, 2)},
                  {ShardName("p"), ShardName("q"), ShardName("r")}, now);
  CHECK(claims == std::map<std::string, std::size_t>{{"a", 0}, {"b", 3}});
}

TEST_CASE("Shards that an entry already owns reduce its free capacity",
          "[ownership]") {
  const TimePoint now{std::chrono::hours(1)};
  OwnershipState state;
  state.self = EntryId("small");
  state.incarnation = 1;
  state.shards_read = true;
  ApplyEntryRows(state,
                 {EntryRowWithCapacity("large", 500, 200, 1),
                  EntryRowWithCapacity("small", 120, 10, 2)},
                 now);
  std::uint64_t version = 10;
  for (const char* shard : {"@duties", "p", "q", "r"}) {
    state.wanted.insert(ShardName(shard));
    ApplyShardRow(state, ShardRow(shard, "large", 1, ++version), now);
  }
  state.wanted.insert(ShardName("s"));
  const auto claims = NextClaims(state, now);
  REQUIRE(claims.size() == 1);
  CHECK(claims[0].shard == ShardName("s"));
}

TEST_CASE(
    "A shard is claimed from its owner only when the entry's row is stale",
    "[ownership]") {
  // Guards against a takeover from an owner that still renews its row.
  const TimePoint now{std::chrono::hours(1)};
  OwnershipState state = MakeState("a", now);
  state.wanted = {ShardName("p")};
  ApplyShardRow(state, ShardRow("p", "b", 1, 20), now);
  CHECK(NextClaims(state, now + kEntryTimeout / 2).empty());

  const TimePoint later = now + kEntryTimeout;
  ApplyEntryRows(state, {EntryRow("a", 1, 11), EntryRow("b", 1, 2)}, later);
  const auto claims = NextClaims(state, later);
  REQUIRE(claims.size() == 1);
  // The claim fails if the owner renews its row before the commit.
  bool depends_on_owner = false;
  for (const Condition& condition : claims[0].transaction.conditions) {
    depends_on_owner =
        depends_on_owner || (condition.table == kEntryTable &&
                             condition.key == "b" && condition.version == 2);
  }
  CHECK(depends_on_owner);
}

TEST_CASE("The shards of a restarted entry can be claimed at once",
          "[ownership]") {
  const TimePoint now{std::chrono::hours(1)};
  OwnershipState state = MakeState("a", now);
  state.wanted = {ShardName("p")};
  ApplyShardRow(state, ShardRow("p", "a", 9, 20), now);
  ApplyEntryRows(state, {EntryRow("a", 1, 30)}, now);
  REQUIRE(NextClaims(state, now).size() == 1);
}

TEST_CASE("A shard whose owner's entry row was not read yet is not claimed",
          "[ownership]") {
  // Guards against taking a shard away from the new process of a restarted
  // entry: the claiming entry has only read the row of the previous process.
  const TimePoint now{std::chrono::hours(1)};
  OwnershipState state = MakeState("a", now);
  state.wanted = {ShardName("p")};
  ApplyEntryRows(state, {EntryRow("a", 1, 30), EntryRow("b", 1, 31)}, now);
  ApplyShardRow(state, ShardRow("p", "b", 2, 40), now);
  CHECK(NextClaims(state, now).empty());
  ApplyShardRow(state, ShardRow("p", "c", 1, 41), now);
  CHECK(NextClaims(state, now).empty());
}

TEST_CASE("A claim tells whether the former owner has stopped", "[ownership]") {
  const TimePoint now{std::chrono::hours(1)};
  OwnershipState state = MakeState("a", now);
  state.wanted = {ShardName("p")};
  ApplyShardRow(state, ShardRow("p", "b", 1, 20), now);
  ApplyEntryRows(state, {EntryRow("a", 1, 30), EntryRow("b", 1, 2)},
                 now + kEntryTimeout);
  const auto stale = NextClaims(state, now + kEntryTimeout);
  REQUIRE(stale.size() == 1);
  CHECK_FALSE(stale[0].handover.former_owner_stopped);
  ApplyEntryRows(state, {EntryRow("a", 1, 31), EntryRow("b", 9, 32)},
                 now + kEntryTimeout);
  // Entry "b" is alive again and has as few shards as "a": "q" does not count,
  // because it is not in `wanted`.
  ApplyShardRow(state, ShardRow("q", "b", 9, 33), now);
  const auto replaced = NextClaims(state, now + kEntryTimeout);
  REQUIRE(replaced.size() == 1);
  CHECK(replaced[0].handover.former_owner_stopped);
}

TEST_CASE("A released shard can be claimed at once", "[ownership]") {
  const TimePoint now{std::chrono::hours(1)};
  OwnershipState state = MakeState("a", now);
  state.wanted = {ShardName("p")};
  ApplyEntryRows(state, {EntryRow("a", 1, 30)}, now);
  ApplyShardRow(state, ShardRow("p", "b", 1, 20), now);
  ApplyShardRow(state, ShardRow("p", "", 0, 25), now);
  CHECK(NextClaims(state, now).size() == 1);
  // An older row that arrives late is ignored.
  ApplyShardRow(state, ShardRow("p", "b", 1, 20), now);
  CHECK(NextClaims(state, now).size() == 1);
}

TEST_CASE("A release tells the next owner about unresponsive workers",
          "[ownership]") {
  const Transaction release =
      MakeRelease(ShardName("p"), 20, {{WorkerId("w"), milliseconds(1500)}});
  REQUIRE(release.writes.size() == 1);
  OwnershipState state;
  ApplyShardRow(
      state,
      {std::string(kShardTable), "p", 21, release.writes[0].value.value()},
      TimePoint(std::chrono::hours(1)));
  const ShardOwner& shard = state.shards.at(ShardName("p"));
  CHECK(shard.owner.empty());
  CHECK(shard.unresponsive_workers.at(WorkerId("w")) == milliseconds(1500));
}

TEST_CASE("A stopping entry claims nothing", "[ownership]") {
  const TimePoint now{std::chrono::hours(1)};
  OwnershipState state = MakeState("a", now);
  state.stopping = true;
  CHECK(NextClaims(state, now).empty());
}

/// Has one large entry for each of the first claimants, which own a shard each,
/// and one small entry, which is `self`.
auto MakeLargeSite(TimePoint now) -> OwnershipState {
  OwnershipState state = MakeState("small", now);
  state.wanted.clear();
  std::vector<Row> rows{EntryRow("small", 1, 60)};
  for (std::size_t number = 0; number < kFirstClaimants; ++number) {
    const std::string name = "large" + std::to_string(number);
    rows.push_back(EntryRowWithCapacity(name, 500, 200, 30 + number));
    state.wanted.insert(ShardName("p" + name));
    ApplyShardRow(state, ShardRow("p" + name, name, 1, 20), now);
  }
  ApplyEntryRows(state, rows, now);
  return state;
}

TEST_CASE("An entry that others precede reads their rows rarely",
          "[ownership]") {
  // Guards against a cost of each entry that grows with the number of entries:
  // 147 entries that read 147 rows each second.
  const TimePoint now{std::chrono::hours(1)};
  OwnershipState state = MakeLargeSite(now);
  CHECK_FALSE(ReadsEachRenewal(state, now));
  // It reads them each time while a shard has no owner, and once it owns one.
  OwnershipState orphaned = state;
  orphaned.wanted.insert(ShardName("q"));
  CHECK(ReadsEachRenewal(orphaned, now));
  OwnershipState owning = state;
  ApplyShardRow(owning, ShardRow("plarge0", "small", 1, 70), now);
  CHECK(ReadsEachRenewal(owning, now));
  // So does one of the entries that would claim the next shard.
  OwnershipState large = state;
  large.self = EntryId("large3");
  CHECK(ReadsEachRenewal(large, now));
}

}  // namespace
}  // namespace fireflythread::test
