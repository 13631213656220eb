#ifndef TEST_FIREFLYTHREAD_DUTIES_SIMULATED_VM_H_
#define TEST_FIREFLYTHREAD_DUTIES_SIMULATED_VM_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/start_command.h"
#include "fireflythread/jobs/task_name.h"
#include "fireflythread/jobs/worker_report.h"

namespace fireflythread::test {

/// A VM of a pool and the worker on it, which carries out orders at once.
struct SimulatedVm {
  struct Run {
    int number = 0;
    /// Empty for a task that works until it is stopped.
    std::optional<TimePoint> ends_at;
  };

  VmId id;
  ServiceName pool;
  /// Empty while the VM moves, and in the spare pool.
  WorkerId worker;
  /// Set while the VM moves.
  std::optional<TimePoint> arrives_at;
  std::map<TaskName, Run> runs;
  /// Completions that no report has listed yet.
  std::vector<RunCompletion> ended;
  std::uint64_t last_completion = 0;
  /// Time at which the worker's clock was 0.
  TimePoint began_at;
};

auto StartRun(SimulatedVm& vm,
              const StartCommand& start,
              std::optional<TimePoint> ends_at) -> void;
auto StopRun(SimulatedVm& vm, const TaskName& task) -> void;

/// Ends the runs that are over and returns the worker's report.
[[nodiscard]] auto TakeReport(SimulatedVm& vm, TimePoint now) -> WorkerReport;

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_DUTIES_SIMULATED_VM_H_
