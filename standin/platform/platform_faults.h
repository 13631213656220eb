#ifndef STANDIN_PLATFORM_PLATFORM_FAULTS_H_
#define STANDIN_PLATFORM_PLATFORM_FAULTS_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace fireflythread::standin {

/// What a part of the platform does with a request while it is faulty.
enum class OutageKind {
  kNone,
  /// 503 with X-Not-Run: 1.
  kRefuse,
  /// The connection is closed without an answer; nothing is done.
  kClose,
  /// The connection stays open and silent; nothing is done.
  kHang
};

/// The faults that are switched on now. docs/modules/standin.md lists them.
struct PlatformFaults {
  OutageKind store = OutageKind::kNone;
  OutageKind list = OutageKind::kNone;
  OutageKind commands = OutageKind::kNone;
  std::chrono::milliseconds store_slow{0};
  std::chrono::milliseconds list_lag{500};
  std::chrono::milliseconds report_lag{1000};
  std::chrono::milliseconds reboot_time{3000};
  /// Transactions whose answer is lost after they took effect.
  int lose_answers = 0;
  /// True: the lost answer's connection stays open and silent.
  bool lose_silently = false;
  /// Only transactions that write this table lose their answer; empty: all.
  std::string lose_table;
  /// Requests that are lost before they take effect.
  int lose_requests = 0;
  /// The next requests' connections that go silent for good.
  int silence_connections = 0;
  /// The next answers that are not valid JSON, after the effect.
  int malformed_answers = 0;
  /// Listeners, by index, that are cut off: silent.
  std::set<int> cut_listeners;
  /// Listeners whose transactions of a controller, or whose VM commands, are
  /// held on their way and arrive when the listener is no longer named.
  std::set<int> hold_writes;
  std::set<int> hold_commands;
  std::set<std::string> failing_workers;
  /// Workers that are cut off from the platform while they run on.
  std::set<std::string> isolated_workers;
};

/// Sets the members that `json` names. Throws nlohmann::json::exception when
/// one has a wrong type.
auto ApplyFaults(const nlohmann::json& json, PlatformFaults& faults) -> void;

}  // namespace fireflythread::standin

#endif  // STANDIN_PLATFORM_PLATFORM_FAULTS_H_
