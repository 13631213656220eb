#include "standin/platform/platform_service.h"

#include <charconv>
#include <stdexcept>
#include <utility>

#include "standin/common/main_loop.h"
#include "standin/platform/table_json.h"

namespace fireflythread::standin {
namespace {

using Json = nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;

auto ReplyNotRun(const PlatformService::Exchange& exchange,
                 unsigned status,
                 const std::string& reason) -> void {
  exchange->ReplyJson(status, {{"error", reason}}, {{"X-Not-Run", "1"}});
}

/// Returns true when the outage has dealt with the request.
auto ApplyOutage(OutageKind kind, const PlatformService::Exchange& exchange)
    -> bool {
  switch (kind) {
    case OutageKind::kNone:
      return false;
    case OutageKind::kRefuse:
      ReplyNotRun(exchange, kUnavailable, "unavailable");
      return true;
    case OutageKind::kClose:
      exchange->Close();
      return true;
    case OutageKind::kHang:
      exchange->GoSilent();
      return true;
  }
  return false;
}

auto ParseNumber(const std::string& text) -> std::uint64_t {
  std::uint64_t value = 0;
  const auto result =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (!text.empty() &&
      (result.ec != std::errc() || result.ptr != text.data() + text.size())) {
    throw std::invalid_argument("not a number: " + text);
  }
  return value;
}

auto PageFromQuery(const HttpExchange& exchange, const std::string& table)
    -> PageRequest {
  constexpr std::uint64_t kMostRows = 1000;
  const std::uint64_t limit = ParseNumber(exchange.Query("limit"));
  const std::string order = exchange.Query("order");
  if (limit < 1 || limit > kMostRows ||
      (order != "ascending" && order != "descending")) {
    throw std::invalid_argument("no such page");
  }
  return {.table = table,
          .above = exchange.Query("above"),
          .below = exchange.Query("below"),
          .limit = static_cast<int>(limit),
          .descending = order == "descending"};
}

auto TaskCommandFromJson(const std::string& vm, const Json& json)
    -> TaskCommand {
  return {.vm = vm,
          .command = json.at("command"),
          .task = json.at("task"),
          .fence = json.at("fence"),
          .lease = std::chrono::milliseconds(json.value("lease_ms", 0)),
          .body = json.value("body", ""),
          .checkpoint = json.value("checkpoint", "")};
}

}  // namespace

PlatformService::PlatformService(std::vector<VmEntry> entries)
    : tasks(this->objects),
      vms(std::move(entries),
          [this](const std::string& vm) { this->tasks.LoseVm(vm); }) {}

auto PlatformService::HandleApi(int listener, const Exchange& exchange)
    -> void {
  if (this->faults.cut_listeners.contains(listener)) {
    exchange->GoSilent();
    return;
  }
  if (this->IsHeld(listener, exchange)) {
    const bool reboot = exchange->Body().find("reboot") != std::string::npos;
    const bool fleet = exchange->Body().find("\"fleet\"") != std::string::npos;
    this->counts["held_reboots"] += reboot ? 1 : 0;
    this->counts["held_fleet_writes"] += fleet ? 1 : 0;
    this->held.push_back({listener, exchange});
    return;
  }
  if (this->faults.silence_connections > 0) {
    --this->faults.silence_connections;
    exchange->GoSilent();
    return;
  }
  if (this->faults.lose_requests > 0) {
    --this->faults.lose_requests;
    exchange->Close();
    return;
  }
  try {
    this->Dispatch(exchange);
  } catch (const std::exception& error) {
    ReplyNotRun(exchange, kBadRequest, error.what());
  }
}

auto PlatformService::IsHeld(int listener, const Exchange& exchange) const
    -> bool {
  const std::vector<std::string> path = exchange->Segments();
  if (exchange->Method() != "POST" || path.size() < 3) {
    return false;
  }
  if (path[1] == "table") {
    // What a controller writes has a condition on one of these tables.
    const std::string& body = exchange->Body();
    return this->faults.hold_writes.contains(listener) &&
           (body.find("\"lease\"") != std::string::npos ||
            body.find("\"fleet\"") != std::string::npos);
  }
  return path.back() == "commands" &&
         this->faults.hold_commands.contains(listener);
}

auto PlatformService::ReleaseHeld() -> void {
  std::vector<HeldRequest> requests = std::move(this->held);
  this->held.clear();
  this->releasing = true;
  for (const HeldRequest& request : requests) {
    this->HandleApi(request.listener, request.exchange);
  }
  this->releasing = false;
}

auto PlatformService::Dispatch(const Exchange& exchange) -> void {
  const std::vector<std::string> path = exchange->Segments();
  if (path.size() < 2 || path[0] != "v1") {
    ReplyNotRun(exchange, kNotFound, "no such path");
    return;
  }
  ++this->counts[exchange->Method() + " " + path[1]];
  if (path[1] == "table" || path[1] == "objects") {
    if (ApplyOutage(this->faults.store, exchange)) {
      return;
    }
    if (this->faults.store_slow.count() == 0) {
      this->HandleTable(exchange, path);
      return;
    }
    RunLater(this->faults.store_slow, [this, exchange, path] {
      try {
        this->HandleTable(exchange, path);
      } catch (const std::exception& error) {
        ReplyNotRun(exchange, kBadRequest, error.what());
      }
    });
  } else if (path[1] == "vms") {
    this->HandleVms(exchange, path);
  } else if (path[1] == "workers") {
    this->HandleWorkers(exchange, path);
  } else {
    ReplyNotRun(exchange, kNotFound, "no such path");
  }
}

auto PlatformService::HandleTable(const Exchange& exchange,
                                  const std::vector<std::string>& path)
    -> void {
  const bool get = exchange->Method() == "GET";
  if (path[1] == "objects" && path.size() == 3) {
    this->HandleObject(exchange, path[2]);
  } else if (path.size() == 3 && !get && path[2] == "transactions") {
    this->HandleTransactions(exchange, false);
  } else if (path.size() == 3 && !get && path[2] == "batches") {
    this->HandleTransactions(exchange, true);
  } else if (path.size() == 5 && get && path[2] == "rows") {
    const std::optional<Row> row = this->table.Read(path[3], path[4]);
    exchange->ReplyJson(kOk, {{"row", row ? RowToJson(*row) : Json(nullptr)}});
  } else if (path.size() == 4 && get && path[2] == "rows") {
    exchange->ReplyJson(kOk, ScanToJson(this->table.Scan(
                                 path[3], ParseNumber(exchange->Query("after")),
                                 exchange->Query("prefix"))));
  } else if (path.size() == 4 && get && path[2] == "pages") {
    exchange->ReplyJson(
        kOk, PageToJson(this->table.Page(PageFromQuery(*exchange, path[3]))));
  } else {
    ReplyNotRun(exchange, kNotFound, "no such path");
  }
}

auto PlatformService::TakeLostAnswer(
    const std::vector<Transaction>& transactions) -> bool {
  if (this->faults.lose_answers <= 0) {
    return false;
  }
  bool matches = this->faults.lose_table.empty();
  for (const Transaction& transaction : transactions) {
    for (const Write& write : transaction.writes) {
      matches = matches || write.table == this->faults.lose_table;
    }
  }
  this->faults.lose_answers -= matches ? 1 : 0;
  return matches;
}

auto PlatformService::HandleTransactions(const Exchange& exchange, bool batch)
    -> void {
  const Json body = Json::parse(exchange->Body());
  std::vector<Transaction> transactions;
  if (batch) {
    for (const Json& item : body.at("transactions")) {
      transactions.push_back(TransactionFromJson(item));
    }
  } else {
    transactions.push_back(TransactionFromJson(body));
  }
  Json outcomes = Json::array();
  for (const Transaction& transaction : transactions) {
    outcomes.push_back(OutcomeToJson(this->table.Apply(transaction)));
    const auto outcome = outcomes.back().at("outcome").get<std::string>();
    ++this->counts[outcome];
    this->counts["late_" + outcome] += this->releasing ? 1 : 0;
  }
  if (this->TakeLostAnswer(transactions)) {
    ++this->counts["lost_answers"];
    if (this->faults.lose_silently) {
      exchange->GoSilent();
    } else {
      exchange->Close();
    }
  } else if (this->faults.malformed_answers > 0) {
    --this->faults.malformed_answers;
    exchange->Reply(kOk, "{\"outcome\": \"comm");
  } else {
    exchange->ReplyJson(kOk,
                        batch ? Json({{"outcomes", outcomes}}) : outcomes[0]);
  }
}

auto PlatformService::HandleObject(const Exchange& exchange,
                                   const std::string& key) -> void {
  if (exchange->Method() == "PUT") {
    this->objects[key] = exchange->Body();
    exchange->ReplyJson(kOk, Json::object());
    return;
  }
  if (exchange->Method() == "DELETE") {
    this->objects.erase(key);
    exchange->ReplyJson(kOk, Json::object());
    return;
  }
  const auto object = this->objects.find(key);
  if (object == this->objects.end()) {
    ReplyNotRun(exchange, kNotFound, "no such object");
  } else {
    exchange->Reply(kOk, object->second);
  }
}

auto PlatformService::HandleVms(const Exchange& exchange,
                                const std::vector<std::string>& path) -> void {
  if (path.size() == 2) {
    if (!ApplyOutage(this->faults.list, exchange)) {
      exchange->ReplyJson(
          kOk, this->vms.VisibleList(ParseNumber(exchange->Query("since")),
                                     this->faults.list_lag));
    }
    return;
  }
  if (path.size() != 4 || path[3] != "commands") {
    ReplyNotRun(exchange, kNotFound, "no such path");
    return;
  }
  if (ApplyOutage(this->faults.commands, exchange)) {
    return;
  }
  const Json body = Json::parse(exchange->Body());
  switch (this->vms.Command(path[2], body.at("command"), body.at("fence"))) {
    case VmRegistry::CommandResult::kTaken:
      exchange->ReplyJson(kOk, Json::object());
      return;
    case VmRegistry::CommandResult::kUnknownVm:
      ReplyNotRun(exchange, kNotFound, "no such VM");
      return;
    case VmRegistry::CommandResult::kUnknownCommand:
      ReplyNotRun(exchange, kBadRequest, "no such command");
      return;
    case VmRegistry::CommandResult::kStaleFence:
      ReplyNotRun(exchange, kConflict, "a newer fence was seen");
      return;
  }
}

auto PlatformService::HandleWorkers(const Exchange& exchange,
                                    const std::vector<std::string>& path)
    -> void {
  if (ApplyOutage(this->faults.commands, exchange)) {
    return;
  }
  if (path.size() == 3 && path[2] == "tasks") {
    exchange->ReplyJson(kOk, this->tasks.Reports(this->faults.report_lag));
    return;
  }
  if (path.size() == 3 && path[2] == "usage") {
    exchange->ReplyJson(kOk, this->tasks.Usage());
    return;
  }
  if (path.size() != 4 || path[3] != "tasks") {
    ReplyNotRun(exchange, kNotFound, "no such path");
    return;
  }
  if (!this->vms.IsUp(path[2]) || this->tasks.IsIsolated(path[2])) {
    ReplyNotRun(exchange, kUnavailable, "the worker is not up");
    return;
  }
  switch (this->tasks.Command(
      TaskCommandFromJson(path[2], Json::parse(exchange->Body())))) {
    case TaskBoard::CommandResult::kTaken:
      exchange->ReplyJson(kOk, Json::object());
      return;
    case TaskBoard::CommandResult::kUnknownTask:
      ReplyNotRun(exchange, kNotFound, "the worker does not run this task");
      return;
    case TaskBoard::CommandResult::kUnknownCommand:
      ReplyNotRun(exchange, kBadRequest, "no such command");
      return;
    case TaskBoard::CommandResult::kStaleFence:
      ReplyNotRun(exchange, kConflict, "a newer fence was seen");
      return;
  }
}

auto PlatformService::SetFaults(const Json& json) -> void {
  ApplyFaults(json, this->faults);
  this->vms.SetRebootTime(this->faults.reboot_time);
  this->tasks.SetFailingVms(this->faults.failing_workers);
  this->tasks.SetIsolatedVms(this->faults.isolated_workers);
  if (json.value("silence_established", false)) {
    this->silence_established();
  }
  const std::chrono::milliseconds grace(json.value("leave_grace_ms", 10000));
  for (const Json& id : json.value("leave", Json::array())) {
    this->vms.Leave(id, grace);
  }
  for (const Json& id : json.value("return", Json::array())) {
    this->vms.Return(id);
  }
  this->ReleaseHeld();
}

auto PlatformService::Counters() const -> Json {
  Json counters = this->counts;
  counters["revision"] = this->table.Revision();
  return counters;
}

auto PlatformService::HandleControl(const Exchange& exchange) -> void {
  const std::string path = exchange->RawPath();
  try {
    if (path == "/faults" && exchange->Method() == "POST") {
      this->SetFaults(Json::parse(exchange->Body()));
      exchange->ReplyJson(kOk, Json::object());
    } else if (path == "/counters") {
      exchange->ReplyJson(kOk, this->Counters());
    } else if (path == "/rows") {
      // The table as it is, past any fault: the oracle of the tests.
      exchange->ReplyJson(
          kOk, ScanToJson(this->table.Scan(exchange->Query("table"), 0, "")));
    } else if (path == "/vms") {
      exchange->ReplyJson(kOk, this->vms.TrueState());
    } else if (path == "/runs") {
      exchange->ReplyJson(kOk, this->tasks.Runs());
    } else if (path == "/tasks") {
      this->tasks.Advance();
      exchange->ReplyJson(kOk, this->tasks.TrueState());
    } else if (path == "/transactions" && exchange->Method() == "POST") {
      exchange->ReplyJson(
          kOk, OutcomeToJson(this->table.Apply(
                   TransactionFromJson(Json::parse(exchange->Body())))));
    } else {
      exchange->ReplyJson(kNotFound, {{"error", "no such path"}});
    }
  } catch (const std::exception& error) {
    exchange->ReplyJson(kBadRequest, {{"error", error.what()}});
  }
}

}  // namespace fireflythread::standin
