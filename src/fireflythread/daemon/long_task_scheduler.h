#ifndef FIREFLYTHREAD_DAEMON_LONG_TASK_SCHEDULER_H_
#define FIREFLYTHREAD_DAEMON_LONG_TASK_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/worker_task_command.h"
#include "fireflythread/platform/worker_task_report.h"
#include "fireflythread/settings/daemon_settings.h"
#include "fireflythread/tasks/task_decision.h"
#include "fireflythread/tasks/task_memory.h"
#include "fireflythread/tasks/task_record.h"

namespace fireflythread {

class Logger;
class PlatformClient;
class StateTask;
struct LeaseState;

/// Places long tasks on workers and keeps their leases while this entry is the
/// controller. ControllerTask owns it and calls it.
class LongTaskScheduler {
 public:
  struct Dependencies {
    const DaemonSettings& settings;
    PlatformClient& platform;
    const Logger& logger;
    const StateTask& state;
    const LeaseState& lease;
  };

  explicit LongTaskScheduler(Dependencies dependencies);

  /// Forgets everything of an earlier term.
  auto BeginTerm() -> void;
  /// One step. `lost` are the VMs that take no work although their row says
  /// serving.
  auto Step(const std::set<VmId>& lost) -> void;

  /// VMs that hold a task's lease; a drain waits for them.
  [[nodiscard]] auto BusyVms() const -> std::set<VmId>;
  /// False until the task rows were first read in this term.
  [[nodiscard]] auto HasRead() const -> bool;

 private:
  auto ReadRows() -> void;
  auto ReadReports() -> void;
  auto TakeRows(const std::vector<Row>& rows) -> void;
  auto Decide(const std::set<VmId>& lost) -> void;
  auto Commit(std::vector<Transaction> transactions) -> void;
  auto SendCommands(const std::vector<WorkerTaskCommand>& commands) -> void;

  Dependencies deps;
  TaskMemory memory;
  std::map<TaskId, TaskRecord> tasks;
  std::optional<std::vector<WorkerTaskReport>> reports;
  std::optional<TimePoint> last_step;
  std::uint64_t scanned_revision = 0;
  /// Raised with each term; answers to an earlier term's questions are dropped.
  std::uint64_t term = 0;
  bool reading_rows = false;
  bool reading_reports = false;
  bool committing = false;
  bool rows_current = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_LONG_TASK_SCHEDULER_H_
