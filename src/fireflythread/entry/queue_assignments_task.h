#ifndef FIREFLYTHREAD_ENTRY_QUEUE_ASSIGNMENTS_TASK_H_
#define FIREFLYTHREAD_ENTRY_QUEUE_ASSIGNMENTS_TASK_H_

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/entry/range_loader.h"
#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/queue_assignments.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Maintains the rows that tell to which services a queue's jobs have been
/// assigned, so that a submission depends on another shard only if a repeat of
/// it may have been accepted there. A transaction over several shards delays
/// all of them.
class QueueAssignmentsTask {
 public:
  /// An entry that finds rows to write waits for `write_delay` first. Different
  /// delays prevent all entries from writing the same rows at once.
  QueueAssignmentsTask(TableStore& store,
                       const Logger& logger,
                       std::chrono::milliseconds write_delay);
  QueueAssignmentsTask(const QueueAssignmentsTask&) = delete;
  auto operator=(const QueueAssignmentsTask&) -> QueueAssignmentsTask& = delete;

  /// Applies a configuration that has come into force. Has no effect if its
  /// version is the current one.
  auto SetConfiguration(const Configuration& configuration) -> void;

  /// Returns the former assignments of a queue at the current time; see
  /// FormerAssignments().
  [[nodiscard]] auto FormerAssignmentsOf(const Queue& queue) const
      -> std::optional<std::vector<ServiceName>>;

 private:
  auto Read() -> void;
  auto ApplyRows(const std::vector<Row>& rows) -> void;
  auto Write(Transaction transaction) -> void;

  TableStore& store;
  const Logger& logger;
  Configuration configuration;
  QueueAssignments assignments;
  std::chrono::milliseconds write_delay;
  std::unique_ptr<RangeLoader> loader;
  /// Rows to write were found and the delay was started.
  bool delayed = false;
  OneShotTimer read_timer;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_QUEUE_ASSIGNMENTS_TASK_H_
