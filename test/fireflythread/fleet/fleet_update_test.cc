#include "fireflythread/fleet/fleet_update.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/fleet/fleet_changes.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/fleet/vm_record_codec.h"

namespace fireflythread {
namespace {

auto VmRow(const std::string& pool, std::uint64_t version) -> Row {
  VmRecord record;
  record.pool = PoolName(pool);
  record.generation = version;
  return {"fleet", "vm/a", version, EncodeVmRecord(record)};
}

}  // namespace

// Guards against a fleet view that goes back to an older state when messages
// arrive late or out of order.
TEST_CASE("a fleet view never goes back") {
  FleetView view;
  std::vector<RowError> errors;
  REQUIRE(ApplyFleetChanges(view, {0, 5, {VmRow("new", 50)}, {}}, errors) ==
          FleetUpdate::kApplied);
  const FleetView before = view;
  CHECK(ApplyFleetChanges(view, {0, 4, {VmRow("old", 40)}, {}}, errors) ==
        FleetUpdate::kStale);
  CHECK(view == before);
  CHECK(ApplyFleetChanges(view, {7, 8, {VmRow("late", 80)}, {}}, errors) ==
        FleetUpdate::kGap);
  CHECK(view == before);
  CHECK(ApplyFleetChanges(view, {0, 6, {VmRow("old", 40)}, {{"vm/a", 49}}},
                          errors) == FleetUpdate::kApplied);
  CHECK(view.vms.at(VmId("a")).pool == PoolName("new"));
  CHECK(view.version == 6);
  CHECK(ApplyFleetChanges(view, {6, 7, {}, {{"vm/a", 51}}}, errors) ==
        FleetUpdate::kApplied);
  CHECK(view.vms.empty());
}

// Guards against an entry that confirms a version of which it skipped a row.
TEST_CASE("a malformed row leaves the view and its version as they were") {
  FleetView view;
  std::vector<RowError> errors;
  Row bad = VmRow("x", 9);
  bad.value.clear();
  CHECK(ApplyFleetChanges(view, {0, 3, {VmRow("a", 8), bad}, {}}, errors) ==
        FleetUpdate::kMalformed);
  CHECK(view == FleetView{});
  CHECK(errors.size() == 1);
}

}  // namespace fireflythread
