#include "fireflythread/replica/table_replica.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "fireflythread/platform/scan_result.h"
#include "fireflythread/replica/table_delta.h"

namespace fireflythread {
namespace {

auto MakeReplica() -> TableReplica {
  TableReplica replica;
  replica.table = "config";
  return replica;
}

auto Head(std::uint64_t version, std::uint64_t revision) -> Row {
  return {"config", kHeadKey, revision, std::to_string(version)};
}

auto ProfileRow(std::uint64_t revision, const std::string& value) -> Row {
  return {"config", "profile/quick", revision, value};
}

}  // namespace

// Guards against a late scan answer that brings an older configuration back.
TEST_CASE("a late scan does not move a replica back") {
  TableReplica replica = MakeReplica();
  const ScanResult old_scan{5, {Head(1, 5), ProfileRow(5, "old")}, {}};
  const ScanResult new_scan{9, {Head(2, 9), ProfileRow(9, "new")}, {}};
  CHECK(ApplyScan(replica, 0, new_scan) == ReplicaChange::kAdvanced);
  CHECK(ApplyScan(replica, 0, old_scan) == ReplicaChange::kStale);
  CHECK(replica.head == 2);
  CHECK(replica.rows.at("profile/quick").value == "new");
}

// Guards against a push being undone by a scan that was read before it.
TEST_CASE("a scan read before a push keeps the pushed rows") {
  TableReplica replica = MakeReplica();
  REQUIRE(ApplyScan(replica, 0, {5, {Head(1, 5), ProfileRow(5, "a")}, {}}) ==
          ReplicaChange::kAdvanced);
  const TableDelta delta{"config", 1, 2, {ProfileRow(9, "b")}, {}};
  REQUIRE(ApplyDelta(replica, delta) == ReplicaChange::kAdvanced);
  CHECK(ApplyScan(replica, 5, {7, {}, {"profile/quick"}}) ==
        ReplicaChange::kUnchanged);
  CHECK(replica.rows.at("profile/quick").value == "b");
  CHECK(replica.head == 2);
}

// Guards against skipping a lost push: the rows between would be missing.
TEST_CASE("a push after a lost one is reported as a gap") {
  TableReplica replica = MakeReplica();
  REQUIRE(ApplyScan(replica, 0, {5, {Head(1, 5)}, {}}) ==
          ReplicaChange::kAdvanced);
  CHECK(ApplyDelta(replica, {"config", 2, 3, {}, {}}) == ReplicaChange::kGap);
  CHECK(replica.head == 1);
}

// Guards against a malformed head row being taken for version 0.
TEST_CASE("a malformed head row is left out") {
  TableReplica replica = MakeReplica();
  CHECK(ApplyScan(replica, 0, {5, {{"config", kHeadKey, 5, "x1"}}, {}}) ==
        ReplicaChange::kMalformed);
  CHECK(replica.head == 0);
}

// Guards against any order of scans, pushes and snapshots that moves the head
// back or leaves a row older than one already seen.
TEST_CASE("a replica never goes back under any order of inputs") {
  rc::check([](const std::vector<std::uint8_t>& steps) {
    TableReplica replica = MakeReplica();
    std::uint64_t last_head = 0;
    std::uint64_t last_row = 0;
    for (const std::uint8_t step : steps) {
      const std::uint64_t head = 1 + step % 16;
      const std::uint64_t revision = head * 10;
      if (step % 3 == 0) {
        (void)ApplyScan(
            replica, replica.scanned_revision,
            {revision, {Head(head, revision), ProfileRow(revision, "v")}, {}});
      } else if (step % 3 == 1) {
        (void)ApplyDelta(
            replica,
            {"config", head - 1, head, {ProfileRow(revision, "v")}, {}});
      } else {
        TableReplica other = MakeReplica();
        other.head = head;
        other.rows["profile/quick"] = ProfileRow(revision, "v");
        (void)ApplySnapshot(replica, other);
      }
      RC_ASSERT(replica.head >= last_head);
      last_head = replica.head;
      const auto row = replica.rows.find("profile/quick");
      if (row != replica.rows.end()) {
        RC_ASSERT(row->second.version >= last_row);
        last_row = row->second.version;
      }
    }
  });
}

}  // namespace fireflythread
