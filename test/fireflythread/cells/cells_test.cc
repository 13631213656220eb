#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/cells/cell_acceptance.h"
#include "fireflythread/cells/cell_conflict.h"
#include "fireflythread/cells/cell_record.h"
#include "fireflythread/cells/cell_record_codec.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {
namespace {

auto RowOf(const std::string& cell, std::uint64_t config_version) -> Row {
  CellRecord record;
  record.config_version = config_version;
  return {std::string(kCellTable), cell, 9, EncodeCellRecord(record)};
}

auto Claim(const std::string& cell, const std::set<std::string>& zones)
    -> CellClaim {
  CellClaim claim;
  claim.cell = CellName(cell);
  for (const std::string& zone : zones) {
    claim.zones.insert(ZoneName(zone));
  }
  return claim;
}

}  // namespace

// Guards against a cell that is taken for up to date, or without zones, because
// a field of its row was lost or the row is damaged.
TEST_CASE("a cell's row keeps its fields and a damaged row is an error") {
  CellRecord record;
  record.claim = Claim("east", {"z1", "z2"});
  record.version = 12;
  record.config_version = 7;
  record.written_at = WallTime(std::chrono::milliseconds(1700000000123));
  const Row row{std::string(kCellTable), "east", 12, EncodeCellRecord(record)};
  CHECK(std::get<CellRecord>(DecodeCellRecord(row)) == record);
  for (const char* text : {"", "[]", "{}", R"({"config_version":-1})",
                           R"({"config_version":1,"zones":3})"}) {
    CHECK(std::holds_alternative<RowError>(
        DecodeCellRecord({std::string(kCellTable), "east", 1, text})));
  }
}

// Guards against an edit that is reported as accepted while a cell may still
// serve with the older configuration.
TEST_CASE("an edit is accepted only when no cell is missing") {
  const CellName own("a");
  std::vector<Row> rows = {RowOf("a", 0), RowOf("b", 5), RowOf("c", 4)};
  CHECK(JudgeCells(own, true, rows, 4).Accepted());
  CHECK(JudgeCells(own, true, rows, 5).missing == std::set{CellName("c")});
  CHECK(JudgeCells(own, false, rows, 4).missing == std::set{own});
  rows[1].value = "damaged";
  CHECK(JudgeCells(own, true, rows, 4).missing == std::set{CellName("b")});
  CHECK(JudgeCells(own, true, {}, 4).Accepted());
  CHECK(AcceptedInAllCells(own, 6, {RowOf("a", 0), RowOf("b", 5)}) == 5);
  CHECK(AcceptedInAllCells(own, 3, {RowOf("b", 5)}) == 3);
  CHECK(AcceptedInAllCells(own, 6, rows) == 0);
}

// Guards against two cells that manage the VMs of one zone.
TEST_CASE("claims of one zone by two cells conflict") {
  const CellClaim own = Claim("a", {"z1", "z2"});
  CHECK_FALSE(FindClaimConflict(own, own));
  CHECK_FALSE(FindClaimConflict(own, Claim("b", {"z3"})));
  CHECK(FindClaimConflict(own, Claim("b", {"z2", "z3"})) ==
        "zone z2 is also claimed by cell b");
  CHECK(FindClaimConflict(own, Claim("a", {"z1"})) ==
        "cell a is registered with z1, not with z1, z2");
  CHECK(FindClaimConflict(own, Claim("b", {})) == "cell b claims all zones");
  CHECK(FindClaimConflict(Claim("a", {}), Claim("b", {"z3"})) ==
        "cell a claims all zones, but there is also cell b");
  CHECK(FindClaimConflict(own, {own, Claim("b", {"z3"}), Claim("c", {"z1"})}) ==
        "zone z1 is also claimed by cell c");
}

}  // namespace fireflythread
