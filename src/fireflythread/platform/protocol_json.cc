#include "fireflythread/platform/protocol_json.h"

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/vm_command.h"
#include "fireflythread/platform/worker_task_command.h"

namespace fireflythread::internal {
namespace {

using Json = nlohmann::json;

auto Dump(const Json& json) -> std::optional<std::string> {
  try {
    return json.dump();
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

auto TransactionJson(const Transaction& transaction) -> Json {
  Json conditions = Json::array();
  for (const Condition& condition : transaction.conditions) {
    conditions.push_back({{"table", condition.table},
                          {"key", condition.key},
                          {"version", condition.version}});
  }
  Json writes = Json::array();
  for (const Write& write : transaction.writes) {
    Json item = {{"table", write.table}, {"key", write.key}};
    item["value"] = write.value ? Json(*write.value) : Json(nullptr);
    writes.push_back(std::move(item));
  }
  return {{"nonce", transaction.nonce},
          {"conditions", std::move(conditions)},
          {"writes", std::move(writes)}};
}

auto VmCommandName(VmCommandKind kind) -> const char* {
  switch (kind) {
    case VmCommandKind::kDrain:
      return "drain";
    case VmCommandKind::kUndrain:
      return "undrain";
    case VmCommandKind::kReboot:
      return "reboot";
    case VmCommandKind::kStop:
      return "stop";
  }
  return "";
}

auto TaskCommandName(WorkerTaskCommandKind kind) -> const char* {
  switch (kind) {
    case WorkerTaskCommandKind::kRun:
      return "run";
    case WorkerTaskCommandKind::kRenew:
      return "renew";
    case WorkerTaskCommandKind::kCheckpoint:
      return "checkpoint";
    case WorkerTaskCommandKind::kThrottle:
      return "throttle";
    case WorkerTaskCommandKind::kStop:
      return "stop";
  }
  return "";
}

/// Parses a JSON object; a discarded value marks any other text.
auto ParseObject(std::string_view text) -> Json {
  Json json = Json::parse(text, nullptr, false);
  return json.is_object() ? json : Json(Json::value_t::discarded);
}

/// Each Get function reads a member into `out` and returns false when it is
/// missing or of another type.
auto Get(const Json& json, const char* name, std::string& out) -> bool {
  const auto member = json.find(name);
  if (member == json.end() || !member->is_string()) {
    return false;
  }
  out = member->get<std::string>();
  return true;
}

auto Get(const Json& json, const char* name, std::uint64_t& out) -> bool {
  const auto member = json.find(name);
  if (member == json.end() || !member->is_number_unsigned()) {
    return false;
  }
  out = member->get<std::uint64_t>();
  return true;
}

auto Get(const Json& json, const char* name, int& out) -> bool {
  std::uint64_t value = 0;
  if (!Get(json, name, value) || value > std::numeric_limits<int>::max()) {
    return false;
  }
  out = static_cast<int>(value);
  return true;
}

auto Get(const Json& json, const char* name, bool& out) -> bool {
  const auto member = json.find(name);
  if (member == json.end() || !member->is_boolean()) {
    return false;
  }
  out = member->get<bool>();
  return true;
}

auto Get(const Json& json, const char* name, double& out) -> bool {
  const auto member = json.find(name);
  if (member == json.end() || !member->is_number()) {
    return false;
  }
  out = member->get<double>();
  return true;
}

auto GetArray(const Json& json, const char* name) -> const Json* {
  const auto member = json.find(name);
  return member != json.end() && member->is_array() ? &*member : nullptr;
}

auto RowFromJson(const Json& json) -> std::optional<Row> {
  Row row;
  if (!json.is_object() || !Get(json, "table", row.table) ||
      !Get(json, "key", row.key) || !Get(json, "version", row.version) ||
      !Get(json, "value", row.value)) {
    return std::nullopt;
  }
  return row;
}

auto OutcomeFromJson(const Json& json) -> std::optional<TransactionOutcome> {
  std::string outcome;
  if (!json.is_object() || !Get(json, "outcome", outcome)) {
    return std::nullopt;
  }
  if (outcome == "committed") {
    Committed committed;
    if (!Get(json, "revision", committed.revision) || committed.revision == 0) {
      return std::nullopt;
    }
    return committed;
  }
  if (outcome == "conflict") {
    Conflict conflict;
    const Json* rows = GetArray(json, "current");
    if (rows == nullptr) {
      return std::nullopt;
    }
    for (const Json& item : *rows) {
      std::optional<Row> row = RowFromJson(item);
      if (!row) {
        return std::nullopt;
      }
      conflict.current.push_back(*std::move(row));
    }
    return conflict;
  }
  if (outcome == "not-committed") {
    NotCommitted rejected;
    Get(json, "reason", rejected.reason);
    return rejected;
  }
  return std::nullopt;
}

auto VmFromJson(const Json& json) -> std::optional<ListedVm> {
  ListedVm vm;
  if (!json.is_object() || !Get(json, "id", vm.id.value) ||
      !Get(json, "address", vm.address) || !Get(json, "zone", vm.zone.value) ||
      !Get(json, "rack", vm.rack.value) || !Get(json, "leaving", vm.leaving) ||
      !Get(json, "cores", vm.cores) || !Get(json, "memory_mb", vm.memory_mb) ||
      !Get(json, "accelerators", vm.accelerators)) {
    return std::nullopt;
  }
  return vm;
}

auto TaskStateFromName(const std::string& name)
    -> std::optional<WorkerTaskState> {
  constexpr std::pair<const char*, WorkerTaskState> kNames[] = {
      {"running", WorkerTaskState::kRunning},
      {"checkpointed", WorkerTaskState::kCheckpointed},
      {"done", WorkerTaskState::kDone},
      {"failed", WorkerTaskState::kFailed},
      {"stopped", WorkerTaskState::kStopped},
      {"lease-expired", WorkerTaskState::kLeaseExpired}};
  for (const auto& [text, state] : kNames) {
    if (name == text) {
      return state;
    }
  }
  return std::nullopt;
}

auto ReportFromJson(const Json& json) -> std::optional<WorkerTaskReport> {
  WorkerTaskReport report;
  std::string state_name;
  if (!json.is_object() || !Get(json, "task", report.task.value) ||
      !Get(json, "vm", report.vm.value) || !Get(json, "fence", report.fence) ||
      !Get(json, "state", state_name) ||
      !Get(json, "progress", report.progress) ||
      !Get(json, "checkpoint", report.checkpoint) ||
      !Get(json, "result", report.result)) {
    return std::nullopt;
  }
  const std::optional<WorkerTaskState> state = TaskStateFromName(state_name);
  if (!state) {
    return std::nullopt;
  }
  report.state = *state;
  return report;
}

}  // namespace

auto EncodeTransaction(const Transaction& transaction)
    -> std::optional<std::string> {
  return Dump(TransactionJson(transaction));
}

auto EncodeBatch(const std::vector<Transaction>& transactions)
    -> std::optional<std::string> {
  Json list = Json::array();
  for (const Transaction& transaction : transactions) {
    list.push_back(TransactionJson(transaction));
  }
  return Dump({{"transactions", std::move(list)}});
}

auto EncodeVmCommand(const VmCommand& command) -> std::optional<std::string> {
  return Dump(
      {{"command", VmCommandName(command.kind)}, {"fence", command.fence}});
}

auto EncodeTaskCommand(const WorkerTaskCommand& command)
    -> std::optional<std::string> {
  const auto lease =
      std::chrono::duration_cast<std::chrono::milliseconds>(command.lease);
  return Dump({{"command", TaskCommandName(command.kind)},
               {"task", command.task.value},
               {"fence", command.fence},
               {"lease_ms", lease.count()},
               {"body", command.body},
               {"checkpoint", command.checkpoint}});
}

auto DecodeOutcome(std::string_view text) -> std::optional<TransactionOutcome> {
  return OutcomeFromJson(ParseObject(text));
}

auto DecodeBatchOutcomes(std::string_view text, std::size_t count)
    -> std::optional<std::vector<TransactionOutcome>> {
  const Json json = ParseObject(text);
  const Json* list = json.is_object() ? GetArray(json, "outcomes") : nullptr;
  if (list == nullptr || list->size() != count) {
    return std::nullopt;
  }
  std::vector<TransactionOutcome> outcomes;
  for (const Json& item : *list) {
    std::optional<TransactionOutcome> outcome = OutcomeFromJson(item);
    if (!outcome) {
      return std::nullopt;
    }
    outcomes.push_back(*std::move(outcome));
  }
  return outcomes;
}

auto DecodeRead(std::string_view text) -> std::optional<std::optional<Row>> {
  const Json json = ParseObject(text);
  if (!json.is_object() || !json.contains("row")) {
    return std::nullopt;
  }
  if (json["row"].is_null()) {
    return std::optional<Row>();
  }
  std::optional<Row> row = RowFromJson(json["row"]);
  if (!row || row->version == 0) {
    return std::nullopt;
  }
  return row;
}

auto DecodeScan(std::string_view text, const std::string& table)
    -> std::optional<ScanResult> {
  const Json json = ParseObject(text);
  ScanResult result;
  if (!json.is_object() || !Get(json, "revision", result.revision)) {
    return std::nullopt;
  }
  const Json* rows = GetArray(json, "rows");
  const Json* deleted = GetArray(json, "deleted");
  if (rows == nullptr || deleted == nullptr) {
    return std::nullopt;
  }
  for (const Json& item : *rows) {
    std::optional<Row> row = RowFromJson(item);
    if (!row || row->version == 0 || row->table != table) {
      return std::nullopt;
    }
    result.rows.push_back(*std::move(row));
  }
  for (const Json& item : *deleted) {
    if (!item.is_string()) {
      return std::nullopt;
    }
    result.deleted.push_back(item.get<std::string>());
  }
  return result;
}

auto DecodePage(std::string_view text, const std::string& table)
    -> std::optional<RowPage> {
  const Json json = ParseObject(text);
  RowPage page;
  if (!json.is_object() || !Get(json, "more", page.more)) {
    return std::nullopt;
  }
  const Json* rows = GetArray(json, "rows");
  if (rows == nullptr || (rows->empty() && page.more)) {
    return std::nullopt;
  }
  for (const Json& item : *rows) {
    std::optional<Row> row = RowFromJson(item);
    if (!row || row->version == 0 || row->table != table) {
      return std::nullopt;
    }
    page.rows.push_back(*std::move(row));
  }
  return page;
}

auto DecodeVmList(std::string_view text) -> std::optional<VmListResult> {
  const Json json = ParseObject(text);
  VmListResult result;
  if (!json.is_object() || !Get(json, "version", result.version) ||
      !Get(json, "changed", result.changed)) {
    return std::nullopt;
  }
  const Json* list = GetArray(json, "vms");
  if (list == nullptr) {
    return std::nullopt;
  }
  for (const Json& item : *list) {
    std::optional<ListedVm> vm = VmFromJson(item);
    if (!vm) {
      return std::nullopt;
    }
    result.vms.push_back(*std::move(vm));
  }
  return result;
}

auto DecodeTaskReports(std::string_view text)
    -> std::optional<std::vector<WorkerTaskReport>> {
  const Json json = ParseObject(text);
  const Json* list = json.is_object() ? GetArray(json, "tasks") : nullptr;
  if (list == nullptr) {
    return std::nullopt;
  }
  std::vector<WorkerTaskReport> reports;
  for (const Json& item : *list) {
    std::optional<WorkerTaskReport> report = ReportFromJson(item);
    if (!report) {
      return std::nullopt;
    }
    reports.push_back(*std::move(report));
  }
  return reports;
}

}  // namespace fireflythread::internal
