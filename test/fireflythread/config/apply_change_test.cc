#include "fireflythread/config/apply_change.h"

#include <catch2/catch.hpp>

#include "test/fireflythread/config/config_testing.h"

namespace fireflythread {

// Guards against a delayed push or scan that reverts an accepted edit.
TEST_CASE("a change never leads to a lower version") {
  const ConfigSnapshot base = testing::SmallSnapshot();
  ConfigChange change;
  change.rows = {{"config", "head", 19, "6"},
                 {"config", "profile/steady", 10, R"({"headroom": 0})"}};
  CHECK(std::get<ChangeStale>(ApplyChange(base, change)).version == 6);
}

// Guards against a push that skips a version, whose rows would be missing.
TEST_CASE("a push from another version is a gap") {
  ConfigChange change;
  change.from_version = 8;
  change.rows = {{"config", "head", 30, "9"}};
  CHECK(std::holds_alternative<ChangeGap>(
      ApplyChange(testing::SmallSnapshot(), change)));
  change.rows = {{"config", "head", 30, "nine"}};
  CHECK(std::holds_alternative<ChangeMalformed>(
      ApplyChange(testing::SmallSnapshot(), change)));
}

// Guards against entries that differ depending on whether they learnt a
// version by a push, by a scan or from the whole table.
TEST_CASE("a push, a scan and the whole table lead to the same snapshot") {
  const ConfigSnapshot base = testing::SmallSnapshot();
  ConfigChange scan;
  scan.rows = {{"config", "head", 31, "9"},
               {"config", "team/cut", 30, R"({"weight": 3})"}};
  scan.deleted = {"pool/misc"};
  const auto next = std::get<ChangeApplied>(ApplyChange(base, scan)).snapshot;
  CHECK(next.version == 9);
  CHECK(next.pools.size() == 1);
  CHECK(std::get<ChangeApplied>(ApplyChange(next, scan)).snapshot == next);

  const ConfigChange push = ChangeBetween(base, next);
  CHECK(push.rows.size() == 2);
  CHECK(std::get<ChangeApplied>(ApplyChange(base, push)).snapshot == next);

  ConfigChange whole;
  whole.whole = true;
  whole.rows = SnapshotRows(next);
  CHECK(std::get<ChangeApplied>(ApplyChange(base, whole)).snapshot == next);
  CHECK(std::get<ChangeApplied>(ApplyChange({}, whole)).snapshot == next);
}

// Guards against one damaged row that stops an entry or removes a service.
TEST_CASE("a malformed row is reported and the last good value stays") {
  const ConfigSnapshot base = testing::SmallSnapshot();
  ConfigChange change;
  change.rows = {{"config", "head", 40, "8"},
                 {"config", "service/orders", 40, "{\"pool\""},
                 {"config", "gadget/x", 40, "{}"},
                 {"config", "profile/fresh", 40, "{}"}};
  const auto applied = std::get<ChangeApplied>(ApplyChange(base, change));
  CHECK(applied.faults.size() == 2);
  CHECK(applied.snapshot.services == base.services);
  CHECK(applied.snapshot.profiles.size() == 2);
}

}  // namespace fireflythread
