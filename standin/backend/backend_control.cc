#include "standin/backend/backend_control.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <limits>

namespace fireflythread::standin {
namespace {

using Json = nlohmann::json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;
constexpr int kDefaultRebootMs = 3000;

auto Selects(const Json& json, const VmEntry& vm) -> bool {
  const auto differs = [&json](const char* name, const std::string& value) {
    return json.contains(name) && json.at(name).get<std::string>() != value;
  };
  if (json.contains("vms")) {
    const Json& ids = json.at("vms");
    if (std::find(ids.begin(), ids.end(), Json(vm.id)) == ids.end()) {
      return false;
    }
  }
  return !differs("rack", vm.rack) && !differs("zone", vm.zone) &&
         !differs("pool", vm.pool);
}

}  // namespace

auto BackendControl::Handle(const std::shared_ptr<HttpExchange>& exchange)
    -> void {
  try {
    this->Dispatch(exchange);
  } catch (const std::exception& error) {
    exchange->ReplyJson(kBadRequest, {{"error", error.what()}});
  }
}

auto BackendControl::Dispatch(const std::shared_ptr<HttpExchange>& exchange)
    -> void {
  const std::vector<std::string> path = exchange->Segments();
  const bool post = exchange->Method() == "POST";
  if (path.size() == 1 && post && path[0] == "faults") {
    const int count = this->SetFaults(Json::parse(exchange->Body()));
    exchange->ReplyJson(kOk, {{"vms", count}});
  } else if (path.size() == 1 && path[0] == "ledger") {
    const std::string limit = exchange->Query("limit");
    exchange->ReplyJson(
        kOk, this->ledger.ToJson(
                 std::strtoull(exchange->Query("from").c_str(), nullptr, 10),
                 limit.empty() ? std::numeric_limits<std::size_t>::max()
                               : std::strtoull(limit.c_str(), nullptr, 10)));
  } else if (path.size() == 1 && path[0] == "counters") {
    exchange->ReplyJson(kOk, this->Counters());
  } else if (path.size() == 3 && post && path[0] == "vms" &&
             this->Command(path[1], path[2], Json::parse(exchange->Body()))) {
    exchange->ReplyJson(kOk, Json::object());
  } else {
    exchange->ReplyJson(kNotFound, {{"error", "no such path or VM"}});
  }
}

auto BackendControl::SetFaults(const Json& json) -> int {
  int count = 0;
  for (const auto& worker : this->workers) {
    if (Selects(json, worker->Entry())) {
      worker->SetFaults(json);
      ++count;
    }
  }
  return count;
}

auto BackendControl::Command(const std::string& vm,
                             const std::string& command,
                             const Json& json) -> bool {
  const auto found = std::find_if(
      this->workers.begin(), this->workers.end(),
      [&vm](const auto& worker) { return worker->Entry().id == vm; });
  if (found == this->workers.end()) {
    return false;
  }
  Worker& worker = **found;
  if (command == "drain" || command == "undrain") {
    worker.SetDraining(command == "drain");
  } else if (command == "reboot") {
    worker.Reboot(
        std::chrono::milliseconds(json.value("duration_ms", kDefaultRebootMs)));
  } else if (command == "stop") {
    worker.Lose();
  } else if (command == "start") {
    worker.Start();
  } else {
    return false;
  }
  return true;
}

auto BackendControl::Counters() const -> Json {
  Json counters = this->ledger.Counters();
  Json list = Json::array();
  for (const auto& worker : this->workers) {
    list.push_back(worker->Counters());
  }
  counters["vms"] = std::move(list);
  return counters;
}

}  // namespace fireflythread::standin
