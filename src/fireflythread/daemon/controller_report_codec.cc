#include "fireflythread/daemon/controller_report_codec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

namespace fireflythread {
namespace {

using nlohmann::json;

constexpr std::array kBudgets = {
    WaveBudget::kMaxUnavailable, WaveBudget::kHeadroom, WaveBudget::kWindow,
    WaveBudget::kAvailability, WaveBudget::kReserve};
constexpr std::array kWaveStates = {WaveState::kDeclared, WaveState::kRunning,
                                    WaveState::kFinished,
                                    WaveState::kCancelled};

auto ToJson(const std::vector<VmNotice>& notices) -> json {
  json list = json::array();
  for (const VmNotice& notice : notices) {
    list.push_back({{"vm", notice.vm.value}, {"reason", notice.reason}});
  }
  return list;
}

auto NoticesFrom(const json& list) -> std::vector<VmNotice> {
  std::vector<VmNotice> notices;
  for (const json& item : list) {
    notices.push_back({VmId(item.at("vm").get<std::string>()),
                       item.at("reason").get<std::string>()});
  }
  return notices;
}

auto BudgetFrom(const std::string& name) -> WaveBudget {
  for (const WaveBudget budget : kBudgets) {
    if (WaveBudgetName(budget) == name) {
      return budget;
    }
  }
  return WaveBudget::kMaxUnavailable;
}

auto ToJson(const PoolStatus& pool) -> json {
  return {{"vms", pool.vms},           {"serving", pool.serving},
          {"incoming", pool.incoming}, {"needed", pool.needed},
          {"target", pool.target},     {"missing", pool.missing}};
}

auto PoolFrom(const json& item) -> PoolStatus {
  PoolStatus pool;
  pool.vms = item.at("vms").get<int>();
  pool.serving = item.at("serving").get<int>();
  pool.incoming = item.at("incoming").get<int>();
  pool.needed = item.at("needed").get<int>();
  pool.target = item.at("target").get<int>();
  pool.missing = item.at("missing").get<int>();
  return pool;
}

auto ToJson(const WaveStatus& wave) -> json {
  return {{"state", static_cast<int>(wave.state)},
          {"remaining", wave.remaining},
          {"out", wave.out},
          {"done", wave.done},
          {"failed", wave.failed},
          {"expected_ns", wave.expected.count()}};
}

auto WaveFrom(const json& item) -> WaveStatus {
  WaveStatus wave;
  wave.state = kWaveStates.at(item.at("state").get<std::size_t>());
  wave.remaining = item.at("remaining").get<int>();
  wave.out = item.at("out").get<int>();
  wave.done = item.at("done").get<int>();
  wave.failed = item.at("failed").get<int>();
  wave.expected = Duration(item.at("expected_ns").get<std::int64_t>());
  return wave;
}

auto BlockedToJson(const std::vector<BlockedVm>& blocked) -> json {
  json list = json::array();
  for (const BlockedVm& vm : blocked) {
    list.push_back({{"vm", vm.vm.value},
                    {"wave", vm.wave.value},
                    {"pool", vm.pool.value},
                    {"budget", WaveBudgetName(vm.budget)}});
  }
  return list;
}

auto ReportFrom(const json& object) -> ControllerReport {
  ControllerReport report;
  for (const auto& [name, item] : object.at("pools").items()) {
    report.pools[PoolName(name)] = PoolFrom(item);
  }
  for (const auto& [id, item] : object.at("waves").items()) {
    report.waves[WaveId(id)] = WaveFrom(item);
  }
  for (const json& item : object.at("blocked")) {
    report.blocked.push_back(
        {VmId(item.at("vm").get<std::string>()),
         WaveId(item.at("wave").get<std::string>()),
         PoolName(item.at("pool").get<std::string>()),
         BudgetFrom(item.at("budget").get<std::string>())});
  }
  report.failed = NoticesFrom(object.at("failed"));
  report.ejected = NoticesFrom(object.at("ejected"));
  report.draining = NoticesFrom(object.at("draining"));
  report.moves_started = object.at("moves_started").get<int>();
  return report;
}

}  // namespace

auto EncodeControllerReport(const ControllerReport& report) -> std::string {
  json pools = json::object();
  for (const auto& [name, pool] : report.pools) {
    pools[name.value] = ToJson(pool);
  }
  json waves = json::object();
  for (const auto& [id, wave] : report.waves) {
    waves[id.value] = ToJson(wave);
  }
  const json object = {{"pools", pools},
                       {"waves", waves},
                       {"blocked", BlockedToJson(report.blocked)},
                       {"failed", ToJson(report.failed)},
                       {"ejected", ToJson(report.ejected)},
                       {"draining", ToJson(report.draining)},
                       {"moves_started", report.moves_started}};
  return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

auto DecodeControllerReport(const std::string& text)
    -> std::optional<ControllerReport> {
  // The library reports wrong types by exceptions; they end here.
  try {
    return ReportFrom(json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace fireflythread
