#ifndef FIREFLYTHREAD_TASKS_TASK_INPUTS_H_
#define FIREFLYTHREAD_TASKS_TASK_INPUTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/config/fwd.h"
#include "fireflythread/fleet/fwd.h"
#include "fireflythread/platform/worker_task_report.h"
#include "fireflythread/tasks/task_limits.h"
#include "fireflythread/tasks/task_record.h"

namespace fireflythread {

/// Inputs of the controller's decisions on long-running tasks. The pointers are
/// not null and stay valid during the call.
struct TaskInputs {
  const ConfigSnapshot* config = nullptr;
  const FleetView* fleet = nullptr;
  /// The tasks of the table; tasks in a final state may be left out.
  const std::map<TaskId, TaskRecord>* tasks = nullptr;
  /// The last report of every task; reports arrive with a delay. No value while
  /// the platform does not answer.
  std::optional<std::vector<WorkerTaskReport>> reports;
  /// VMs that do not accept work although their row says serving; see
  /// FindUnusableVms.
  std::set<VmId> lost;
  std::uint64_t epoch = 0;
  std::uint64_t epoch_row_version = 0;
  TaskLimits limits;
  TimePoint now;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_INPUTS_H_
