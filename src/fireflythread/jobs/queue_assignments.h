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

/// Holds one row for each queue: the service that its jobs go to, and those
/// they went to before.
inline constexpr std::string_view kQueueAssignmentTable = "queue_home";

/// A caller may repeat a submission for this long.
inline constexpr std::chrono::minutes kRepeatWindow{2};

/// A queue's row as last read.
struct QueueAssignment {
  ServiceName service;
  /// Services that the queue left, with the time when that was noticed.
  std::map<ServiceName, WallTime> former;
  std::uint64_t version = 0;
};

/// What an entry knows of the queues' rows.
struct QueueAssignments {
  std::map<QueueName, QueueAssignment> rows;
  /// The rows were read after the configuration changed last.
  bool current = false;
};

/// Takes in all rows of the table.
auto ApplyQueueAssignments(QueueAssignments& assignments,
                           const std::vector<Row>& rows) -> void;

/// The rows that have to be written so that they agree with a configuration, as
/// one transaction. Empty when nothing is to be written.
[[nodiscard]] auto MakeQueueAssignments(const QueueAssignments& assignments,
                                        const Configuration& configuration,
                                        WallTime now) -> Transaction;

/// The other services whose shards may hold jobs of a queue that callers still
/// repeat. No value as long as that is not known: then each may.
[[nodiscard]] auto FormerAssignments(const QueueAssignments& assignments,
                                     const Queue& queue,
                                     WallTime now)
    -> std::optional<std::vector<ServiceName>>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_QUEUE_ASSIGNMENTS_H_
