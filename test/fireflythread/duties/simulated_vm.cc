#include "test/fireflythread/duties/simulated_vm.h"

#include <utility>

namespace fireflythread::test {
namespace {

constexpr int kServingPercent = 100;

auto AddCompletion(SimulatedVm& vm,
                   const TaskName& task,
                   int run,
                   RunResult result) -> void {
  vm.ended.push_back({++vm.last_completion, task, run, result, ""});
}

}  // namespace

auto StartRun(SimulatedVm& vm,
              const StartCommand& start,
              std::optional<TimePoint> ends_at) -> void {
  vm.runs[start.task] = {start.run, ends_at};
}

auto StopRun(SimulatedVm& vm, const TaskName& task) -> void {
  const auto run = vm.runs.find(task);
  if (run != vm.runs.end()) {
    AddCompletion(vm, task, run->second.number, RunResult::kStopped);
    vm.runs.erase(run);
  }
}

auto TakeReport(SimulatedVm& vm, TimePoint now) -> WorkerReport {
  std::erase_if(vm.runs, [&](const auto& entry) -> bool {
    const auto& [task, run] = entry;
    const bool over = run.ends_at && *run.ends_at <= now;
    if (over) {
      AddCompletion(vm, task, run.number, RunResult::kDone);
    }
    return over;
  });
  WorkerReport report;
  report.clock =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - vm.began_at);
  report.started_at = std::chrono::milliseconds(1);
  report.ended = std::exchange(vm.ended, {});
  for (const auto& [task, run] : vm.runs) {
    report.running.push_back({task, run.number, "", kServingPercent, 0});
  }
  return report;
}

}  // namespace fireflythread::test
