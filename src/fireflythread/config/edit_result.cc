#include "fireflythread/config/edit_result.h"

#include <nlohmann/json.hpp>

#include "fireflythread/config/codec.h"
#include "fireflythread/config/tables.h"

namespace fireflythread {

namespace {

constexpr const char* kOvertaken = "another edit was committed first";

auto ResultOfConflict(const PlannedEdit& plan, const Conflict& conflict)
    -> EditResult {
  for (const Row& row : conflict.current) {
    if (row.table == kConfigTable && row.key == plan.key &&
        row.version != plan.from_version) {
      return EditConflict{plan.from_version, row.version};
    }
  }
  return EditHeadMoved{};
}

}  // namespace

auto EditResultOf(const PlannedEdit& plan, const TransactionOutcome& outcome)
    -> EditResult {
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    return EditCommitted{plan.version, committed->revision};
  }
  if (const auto* conflict = std::get_if<Conflict>(&outcome)) {
    return ResultOfConflict(plan, *conflict);
  }
  if (const auto* refused = std::get_if<NotCommitted>(&outcome)) {
    return EditNotCommitted{refused->reason};
  }
  return EditUnknown{};
}

auto ReadBackEdit(const PlannedEdit& plan,
                  const std::optional<Row>& history,
                  bool head_moved) -> EditResult {
  if (!history || history->version == 0) {
    return head_moved ? EditResult(EditNotCommitted{kOvertaken})
                      : EditResult(EditUnknown{});
  }
  const nlohmann::json value =
      nlohmann::json::parse(history->value, nullptr, false);
  if (!value.is_object()) {
    return EditNotCommitted{kOvertaken};
  }
  const auto nonce = value.find("nonce");
  if (nonce != value.end() && *nonce == plan.transaction.nonce) {
    return EditCommitted{plan.version, history->version};
  }
  return EditNotCommitted{kOvertaken};
}

auto SettlingTransaction(const PlannedEdit& plan) -> Transaction {
  const Condition& head = plan.transaction.conditions.front();
  Transaction transaction;
  transaction.nonce = plan.transaction.nonce + "/settle";
  transaction.conditions = {head};
  transaction.writes = {
      {kConfigTable, kConfigHeadKey, EncodeHead(plan.version - 1)}};
  return transaction;
}

auto EditResultOfSettling(const TransactionOutcome& outcome) -> EditResult {
  if (std::holds_alternative<Committed>(outcome)) {
    return EditNotCommitted{"the answer was lost and the edit was withdrawn"};
  }
  if (std::holds_alternative<Conflict>(outcome)) {
    return EditHeadMoved{};
  }
  return EditUnknown{};
}

}  // namespace fireflythread
