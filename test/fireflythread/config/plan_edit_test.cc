#include "fireflythread/config/plan_edit.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fireflythread/config/edit_result.h"
#include "test/fireflythread/config/config_testing.h"

namespace fireflythread {

using testing::MakeEdit;
using testing::SmallSnapshot;

// Guards against edits that are not atomic with the head and the history, or
// that overwrite a concurrent edit.
TEST_CASE("an edit is one transaction on the object, the head and history") {
  const auto plan = std::get<PlannedEdit>(PlanEdit(
      SmallSnapshot(),
      MakeEdit(ConfigKind::kProfile, "steady", R"({"headroom": 1})", 11)));
  const Transaction& transaction = plan.transaction;
  REQUIRE(transaction.conditions.size() == 3);
  CHECK(transaction.conditions[0].version == 20);
  CHECK(transaction.conditions[1].version == 11);
  CHECK(transaction.conditions[2].key == "00000000000000000008");
  CHECK(transaction.conditions[2].version == 0);
  REQUIRE(transaction.writes.size() == 3);
  CHECK(transaction.writes[0].value == "8");
  const auto history = nlohmann::json::parse(*transaction.writes[2].value);
  CHECK(history["who"] == "ines");
  CHECK(history["old"]["headroom"] == 0.5);
  CHECK(history["new"]["headroom"] == 1);
}

// Guards against an edit from an outdated form that silently wins.
TEST_CASE("an edit from another version is a conflict with both versions") {
  const auto conflict = std::get<EditConflict>(PlanEdit(
      SmallSnapshot(), MakeEdit(ConfigKind::kProfile, "steady", "{}", 10)));
  CHECK(conflict.edited_from == 10);
  CHECK(conflict.current == 11);
}

// Guards against a configuration whose services point nowhere.
TEST_CASE("an edit that breaks the whole is refused with all faults") {
  const ConfigSnapshot base = SmallSnapshot();
  const auto invalid = std::get<EditInvalid>(
      PlanEdit(base, MakeEdit(ConfigKind::kService, "plan",
                              R"({"pool": "misc", "profile": "absent"})", 0)));
  CHECK(invalid.faults.size() == 2);
  CHECK(std::holds_alternative<EditInvalid>(PlanEdit(
      base, MakeEdit(ConfigKind::kPool, "desk", R"({"spare": true})", 12))));
  CHECK(
      std::get<EditInUse>(PlanEdit(base, MakeEdit(ConfigKind::kProfile,
                                                  "steady", std::nullopt, 11)))
          .users == std::vector<std::string>{"service/orders"});
  CHECK(std::holds_alternative<EditInvalid>(
      PlanEdit(base, MakeEdit(ConfigKind::kTeam, "absent", std::nullopt, 0))));
}

// Guards against an operator who cannot repair a configuration that already
// has two faults, because either repair alone leaves the other fault.
TEST_CASE("a faulty configuration can be repaired step by step") {
  ConfigSnapshot base = SmallSnapshot();
  base.services[ServiceName("orders")].pool = PoolName("gone");
  base.services[ServiceName("orders")].profile = ProfileName("gone");
  CHECK(std::holds_alternative<PlannedEdit>(
      PlanEdit(base, MakeEdit(ConfigKind::kService, "orders",
                              R"({"pool": "desk", "profile": "gone"})", 20))));
}

// Guards against an operator who is told "failed" for an edit that took
// effect, or "done" for one that did not, after the answer was lost.
TEST_CASE("the result of an edit with a lost answer is read back") {
  const auto plan = std::get<PlannedEdit>(PlanEdit(
      SmallSnapshot(), MakeEdit(ConfigKind::kProfile, "steady", "{}", 11)));
  CHECK(
      std::holds_alternative<EditUnknown>(EditResultOf(plan, CommitUnknown{})));
  const Row own{"history", HistoryKey(8), 25,
                *plan.transaction.writes[2].value};
  const Row other{"history", HistoryKey(8), 25, R"({"nonce": "n2"})"};
  CHECK(std::get<EditCommitted>(ReadBackEdit(plan, own, false)).row_version ==
        25);
  CHECK(std::holds_alternative<EditNotCommitted>(
      ReadBackEdit(plan, other, false)));
  // While the head has not moved the transaction may still arrive.
  CHECK(std::holds_alternative<EditUnknown>(
      ReadBackEdit(plan, std::nullopt, false)));
  CHECK(std::holds_alternative<EditNotCommitted>(
      ReadBackEdit(plan, std::nullopt, true)));
  const Transaction settling = SettlingTransaction(plan);
  CHECK(settling.conditions[0].version == 20);
  CHECK(settling.writes[0].value == "7");
  CHECK(std::holds_alternative<EditNotCommitted>(
      EditResultOfSettling(Committed{26})));
  CHECK(
      std::holds_alternative<EditHeadMoved>(EditResultOfSettling(Conflict{})));
}

// Guards against a conflict report for an edit that lost only the race for the
// head row and can simply be planned again.
TEST_CASE("a conflict on the head alone asks for another plan") {
  const auto plan = std::get<PlannedEdit>(PlanEdit(
      SmallSnapshot(), MakeEdit(ConfigKind::kProfile, "steady", "{}", 11)));
  CHECK(std::holds_alternative<EditHeadMoved>(
      EditResultOf(plan, Conflict{{{"config", "head", 33, "9"}}})));
  CHECK(std::get<EditConflict>(
            EditResultOf(plan,
                         Conflict{{{"config", "profile/steady", 33, "{}"}}}))
            .current == 33);
}

}  // namespace fireflythread
