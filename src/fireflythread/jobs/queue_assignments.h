#ifndef FIREFLYTHREAD_JOBS_QUEUE_ASSIGNMENTS_H_
#define FIREFLYTHREAD_JOBS_QUEUE_ASSIGNMENTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/platform/fwd.h"

namespace fireflythread {

/// Table with one row for each queue: the service that its jobs are assigned
/// to, and the services that they were assigned to before.
inline constexpr std::string_view kQueueAssignmentTable = "queue_home";

/// A caller may repeat a submission for this long.
inline constexpr std::chrono::minutes kRepeatWindow{2};

/// The assignment of a queue, as last read from its row.
struct QueueAssignment {
  ServiceName service;
  /// Former assignments of the queue, with the time at which the change was
  /// noticed.
  std::map<ServiceName, WallTime> former;
  std::uint64_t version = 0;
};

/// The queues' rows as an entry knows them.
struct QueueAssignments {
  std::map<QueueName, QueueAssignment> rows;
  /// The rows were read after the last change of the configuration.
  bool current = false;
};

/// Applies all rows of the table.
auto ApplyQueueAssignments(QueueAssignments& assignments,
                           const std::vector<Row>& rows) -> void;

/// Makes a transaction that writes the rows that differ from the configuration.
/// It is empty when all rows agree.
[[nodiscard]] auto MakeQueueAssignments(const QueueAssignments& assignments,
                                        const Configuration& configuration,
                                        WallTime now) -> Transaction;

/// Returns the other services whose shards may hold jobs of a queue that
/// callers still repeat. Returns no value while this is unknown; then every
/// service must be considered.
[[nodiscard]] auto FormerAssignments(const QueueAssignments& assignments,
                                     const Queue& queue,
                                     WallTime now)
    -> std::optional<std::vector<ServiceName>>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_QUEUE_ASSIGNMENTS_H_
