#include "standin/platform/task_board.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "fireflythread/base/io_clock.h"

namespace fireflythread::standin {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxReports = 1000;
constexpr double kThrottledSpeed = 0.5;
/// Progress by which a new report is due.
constexpr double kReportStep = 0.05;

/// The progress that a checkpoint object holds.
auto CheckpointProgress(const TaskBoard::Objects& objects,
                        const std::string& key) -> double {
  const auto object = objects.find(key);
  if (object == objects.end()) {
    return 0;
  }
  const Json json = Json::parse(object->second, nullptr, false);
  return json.is_object() ? json.value("progress", 0.0) : 0.0;
}

}  // namespace

auto TaskBoard::AddReport(const std::string& id, Task& task) -> void {
  if (this->IsIsolated(task.vm)) {
    return;
  }
  task.reports.push_back({.time = ReadBootClock(),
                          .json = {{"task", id},
                                   {"vm", task.vm},
                                   {"fence", task.fence},
                                   {"state", task.state},
                                   {"progress", task.progress},
                                   {"checkpoint", task.checkpoint},
                                   {"result", task.result}}});
  if (task.reports.size() > kMaxReports) {
    task.reports.pop_front();
  }
}

auto TaskBoard::Run(const TaskCommand& command, Task& task) -> void {
  const bool overlaps =
      task.state == "running" && ReadBootClock() < task.lease_end;
  task.vm = command.vm;
  task.state = "running";
  task.speed = 1;
  task.lost = false;
  task.result.clear();
  task.checkpoint = command.checkpoint;
  task.progress = CheckpointProgress(this->objects, command.checkpoint);
  task.advanced = ReadBootClock();
  task.lease_end = task.advanced + command.lease;
  const Json body = Json::parse(command.body, nullptr, false);
  if (body.is_object()) {
    task.work_ms = std::max(1.0, body.value("work_ms", task.work_ms));
    task.fails = body.value("fail", false);
  }
  this->runs.push_back({{"task", command.task},
                        {"vm", command.vm},
                        {"fence", command.fence},
                        {"checkpoint", command.checkpoint},
                        {"overlaps", overlaps},
                        {"time_ns", task.advanced.time_since_epoch().count()}});
}

auto TaskBoard::Command(const TaskCommand& command) -> CommandResult {
  this->Advance();
  const bool run = command.command == "run";
  const auto found = this->tasks.find(command.task);
  if (found == this->tasks.end() && !run) {
    return CommandResult::kUnknownTask;
  }
  Task& task = this->tasks[command.task];
  if (command.fence < task.fence) {
    return CommandResult::kStaleFence;
  }
  const bool same_run = task.vm == command.vm && task.fence == command.fence;
  task.fence = command.fence;
  const bool running = task.state == "running" && !task.lost;
  if (run) {
    // A repeated command does not start a second run.
    if (!same_run || task.state == "checkpointed") {
      this->Run(command, task);
    }
  } else if (task.vm != command.vm || !running) {
    return CommandResult::kUnknownTask;
  } else if (command.command == "renew") {
    task.lease_end = ReadBootClock() + command.lease;
    return CommandResult::kTaken;
  } else if (command.command == "checkpoint") {
    task.checkpoint = fmt::format("checkpoint/{}/{}", command.task, task.fence);
    this->objects[task.checkpoint] = Json({{"progress", task.progress}}).dump();
    task.state = "checkpointed";
  } else if (command.command == "throttle") {
    task.speed = kThrottledSpeed;
  } else if (command.command == "stop") {
    task.state = "stopped";
  } else {
    return CommandResult::kUnknownCommand;
  }
  AddReport(command.task, task);
  return CommandResult::kTaken;
}

auto TaskBoard::Advance() -> void {
  const TimePoint now = ReadBootClock();
  for (auto& [id, task] : this->tasks) {
    if (task.state == "running") {
      this->AdvanceTask(id, task, now);
    }
  }
}

auto TaskBoard::AdvanceTask(const std::string& id, Task& task, TimePoint now)
    -> void {
  const double before = task.progress;
  if (!task.lost) {
    const std::chrono::duration<double, std::milli> passed =
        std::min(now, task.lease_end) - task.advanced;
    task.progress = std::min(1.0, before + std::max(0.0, passed.count()) *
                                               task.speed / task.work_ms);
  }
  task.advanced = now;
  if (!task.lost && task.progress >= 1.0) {
    const bool failed = task.fails || this->failing_vms.contains(task.vm);
    task.state = failed ? "failed" : "done";
    if (!failed) {
      task.result = fmt::format("result/{}", id);
      this->objects[task.result] =
          Json({{"task", id}, {"vm", task.vm}, {"fence", task.fence}}).dump();
    }
  } else if (now >= task.lease_end) {
    task.state = "lease-expired";
  }
  const double reported = task.reports.empty()
                              ? 0.0
                              : task.reports.back().json.value("progress", 0.0);
  if (task.state != "running" || task.progress - reported >= kReportStep) {
    AddReport(id, task);
  }
}

auto TaskBoard::LoseVm(const std::string& vm) -> void {
  this->Advance();
  if (this->IsIsolated(vm)) {
    return;
  }
  for (auto& [id, task] : this->tasks) {
    if (task.vm == vm && task.state == "running") {
      task.lost = true;
    }
  }
}

auto TaskBoard::Reports(std::chrono::milliseconds lag) const -> Json {
  const TimePoint limit = ReadBootClock() - lag;
  Json list = Json::array();
  for (const auto& [id, task] : this->tasks) {
    const auto visible = std::find_if(
        task.reports.rbegin(), task.reports.rend(),
        [limit](const Report& report) { return report.time <= limit; });
    if (visible != task.reports.rend()) {
      list.push_back(visible->json);
    }
  }
  return {{"tasks", list}};
}

auto TaskBoard::TrueState() const -> Json {
  Json list = Json::array();
  for (const auto& [id, task] : this->tasks) {
    list.push_back({{"task", id},
                    {"vm", task.vm},
                    {"fence", task.fence},
                    {"state", task.lost ? "lost" : task.state},
                    {"progress", task.progress}});
  }
  return {{"tasks", list}};
}

auto TaskBoard::Usage() const -> Json {
  std::map<std::string, int> counts;
  for (const auto& [id, task] : this->tasks) {
    if (task.state == "running" && !task.lost) {
      ++counts[task.vm];
    }
  }
  Json list = Json::array();
  for (const auto& [vm, count] : counts) {
    list.push_back({{"vm", vm}, {"tasks", count}});
  }
  return {{"workers", list}};
}

}  // namespace fireflythread::standin
