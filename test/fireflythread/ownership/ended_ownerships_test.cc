#include "fireflythread/ownership/ended_ownerships.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fireflythread/ownership/ownership.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

const ShardName kPool("p");
const TimePoint kNow{std::chrono::hours(1)};

/// Returns what another entry reads of the row that `owner` writes at `now`.
auto ReadRow(const OwnershipState& owner, std::uint64_t version, TimePoint now)
    -> OwnershipState {
  const Transaction renewal = MakeRenewal(owner, now);
  OwnershipState reader;
  ApplyEntryRows(reader,
                 {{renewal.writes.at(0).table, renewal.writes.at(0).key,
                   version, *renewal.writes.at(0).value}},
                 now);
  return reader;
}

auto MakeFormerOwner() -> OwnershipState {
  OwnershipState owner;
  owner.self = EntryId("a");
  owner.incarnation = 4;
  return owner;
}

TEST_CASE("An entry's row says until when the leases of a lost shard last",
          "[ownership]") {
  // Guards against times that count from when the shard was lost, although the
  // row is renewed later.
  OwnershipState owner = MakeFormerOwner();
  owner.ended[kPool] = {100, kNow, {{WorkerId("w"), milliseconds(3000)}}};
  const OwnershipState reader = ReadRow(owner, 120, kNow + milliseconds(1000));
  const auto times = FindEndedOwnership(reader, kPool, {EntryId("a"), 4, 100});
  REQUIRE(times);
  CHECK(*times == LeaseTimes{{WorkerId("w"), milliseconds(2000)}});

  RemoveOldEndedOwnerships(owner, kNow + std::chrono::minutes(1));
  CHECK(owner.ended.empty());
}

TEST_CASE("A former owner counts as acting until its row shows its end",
          "[ownership]") {
  // Guards against a second run beside one whose lease is still extended.
  OwnershipState owner = MakeFormerOwner();
  const FormerOwner former{EntryId("a"), 4, 100};
  SECTION("no end in the row") {
    CHECK_FALSE(FindEndedOwnership(ReadRow(owner, 120, kNow), kPool, former));
  }
  SECTION("the end of an earlier ownership") {
    owner.ended[kPool] = {90, kNow, {}};
    CHECK_FALSE(FindEndedOwnership(ReadRow(owner, 120, kNow), kPool, former));
  }
  SECTION("the end of another shard") {
    owner.ended[ShardName("q")] = {100, kNow, {}};
    CHECK_FALSE(FindEndedOwnership(ReadRow(owner, 120, kNow), kPool, former));
  }
  SECTION("a row of another process, older than the ownership") {
    owner.incarnation = 3;
    CHECK_FALSE(FindEndedOwnership(ReadRow(owner, 99, kNow), kPool, former));
  }
  SECTION("no such entry") {
    CHECK_FALSE(FindEndedOwnership(OwnershipState(), kPool, former));
  }
}

TEST_CASE("A former owner has ended when another process has its entry",
          "[ownership]") {
  // Guards against the longest wait after an owner was killed and restarted.
  OwnershipState owner = MakeFormerOwner();
  owner.incarnation = 5;
  const auto times = FindEndedOwnership(ReadRow(owner, 120, kNow), kPool,
                                        {EntryId("a"), 4, 100});
  REQUIRE(times);
  CHECK(times->empty());
}

TEST_CASE("Unreadable ends of ownerships are left out", "[ownership]") {
  // Guards against an entry that fails on a row that another version wrote.
  for (const char* row :
       {R"({"ended":[]})", R"({"ended":{"p":1}})", R"({"ended":{"p":{}}})",
        R"({"ended":{"p":{"fence":"x"}}})"}) {
    CAPTURE(row);
    CHECK(DecodeEndedOwnerships(nlohmann::json::parse(row)).empty());
  }
  const auto read = DecodeEndedOwnerships(nlohmann::json::parse(
      R"({"ended":{"p":{"fence":1,"left_ms":{"v":-1,"w":2}}}})"));
  CHECK(read.at(kPool).unresponsive_workers ==
        LeaseTimes{{WorkerId("w"), milliseconds(2)}});
}

}  // namespace
}  // namespace fireflythread::test
