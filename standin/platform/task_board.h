#ifndef STANDIN_PLATFORM_TASK_BOARD_H_
#define STANDIN_PLATFORM_TASK_BOARD_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>

#include "fireflythread/base/time.h"

namespace fireflythread::standin {

/// A command about a long task, as the API carries it.
struct TaskCommand {
  std::string vm;
  std::string command;
  std::string task;
  std::uint64_t fence = 0;
  std::chrono::milliseconds lease{0};
  std::string body;
  std::string checkpoint;
};

/// The long tasks that the workers run, and their lagging reports. A task's
/// body is `{"work_ms": n, "fail": bool}`; other text is a task of one second.
class TaskBoard {
 public:
  using Objects = std::map<std::string, std::string>;
  enum class CommandResult {
    kTaken,
    kUnknownTask,
    kUnknownCommand,
    kStaleFence
  };

  /// Checkpoints and results are stored in `store`.
  explicit TaskBoard(Objects& store) : objects(store) {}

  auto Command(const TaskCommand& command) -> CommandResult;
  /// Moves all tasks on to the present.
  auto Advance() -> void;
  /// Everything that runs on the VM ends without a report.
  auto LoseVm(const std::string& vm) -> void;
  /// Every task that runs on one of these VMs fails.
  auto SetFailingVms(std::set<std::string> vms) -> void {
    this->failing_vms = std::move(vms);
  }

  [[nodiscard]] auto Reports(std::chrono::milliseconds lag) const
      -> nlohmann::json;
  [[nodiscard]] auto Usage() const -> nlohmann::json;
  /// Workers that are cut off from the platform: what runs there goes on until
  /// its lease ends, and nothing is reported.
  auto SetIsolatedVms(std::set<std::string> vms) -> void {
    this->isolated_vms = std::move(vms);
  }
  [[nodiscard]] auto IsIsolated(const std::string& vm) const -> bool {
    return this->isolated_vms.contains(vm);
  }
  /// The true state of every task, without lag.
  [[nodiscard]] auto TrueState() const -> nlohmann::json;
  /// Every start of a run, in order, for tests. `overlaps` is true when the
  /// lease of the run before had not ended.
  [[nodiscard]] auto Runs() const -> nlohmann::json { return this->runs; }

 private:
  struct Report {
    TimePoint time;
    nlohmann::json json;
  };
  struct Task {
    std::string vm;
    std::uint64_t fence = 0;
    std::string state;
    double progress = 0;
    double speed = 1;
    double work_ms = 1000;
    bool fails = false;
    bool lost = false;
    TimePoint lease_end;
    TimePoint advanced;
    std::string checkpoint;
    std::string result;
    std::deque<Report> reports;
  };

  auto Run(const TaskCommand& command, Task& task) -> void;
  auto AdvanceTask(const std::string& id, Task& task, TimePoint now) -> void;
  auto AddReport(const std::string& id, Task& task) -> void;

  Objects& objects;
  std::map<std::string, Task> tasks;
  std::set<std::string> failing_vms;
  std::set<std::string> isolated_vms;
  nlohmann::json runs = nlohmann::json::array();
};

}  // namespace fireflythread::standin

#endif  // STANDIN_PLATFORM_TASK_BOARD_H_
