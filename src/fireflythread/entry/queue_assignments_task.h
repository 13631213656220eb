#ifndef FIREFLYTHREAD_ENTRY_QUEUE_ASSIGNMENTS_TASK_H_
#define FIREFLYTHREAD_ENTRY_QUEUE_ASSIGNMENTS_TASK_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
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

/// Maintains the rows that tell to which service each queue's jobs are
/// assigned, and to which ones they were assigned before. A submission depends
/// on another shard only if a repeat of it may have been accepted there,
/// because a transaction over several shards delays all of them.
class QueueAssignmentsTask {
 public:
  /// An entry that finds rows to write waits for `write_delay` first. Different
  /// delays prevent all entries from writing the same rows at once.
  QueueAssignmentsTask(TableStore& store,
                       const Logger& logger,
                       ShardsOfService shards_of,
                       std::chrono::milliseconds write_delay);
  QueueAssignmentsTask(const QueueAssignmentsTask&) = delete;
  auto operator=(const QueueAssignmentsTask&) -> QueueAssignmentsTask& = delete;

  /// Applies a configuration that has come into force. Has no effect if its
  /// version is the current one.
  auto SetConfiguration(const Configuration& configuration) -> void;

  /// Returns the last known assignment of a queue, or null if none is known.
  /// It may have ended; a submission finds that out.
  [[nodiscard]] auto AssignmentOf(const QueueId& queue) const
      -> const QueueAssignment*;

  /// Reads the rows again and writes those that differ without a delay, because
  /// a caller waits for the first assignment of a queue.
  auto WriteNow() -> void;

  /// Reads the rows again, because a submission found that the assignment with
  /// this version has ended.
  auto RefreshEnded(const QueueId& queue, std::uint64_t version) -> void;

 private:
  auto Refresh() -> void;
  auto Read() -> void;
  auto ApplyRows(const std::vector<Row>& rows) -> void;
  auto Write(std::vector<Transaction> transactions, std::size_t next) -> void;

  TableStore& store;
  const Logger& logger;
  ShardsOfService shards_of;
  Configuration configuration;
  QueueAssignments assignments;
  std::chrono::milliseconds write_delay;
  std::unique_ptr<RangeLoader> loader;
  bool reading = false;
  bool read_again = false;
  bool writing = false;
  /// Time from which rows that differ are written; empty while none are known.
  std::optional<TimePoint> write_due;
  OneShotTimer read_timer;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_QUEUE_ASSIGNMENTS_TASK_H_
