#ifndef FIREFLYTHREAD_JOBS_QUEUE_ASSIGNMENTS_H_
#define FIREFLYTHREAD_JOBS_QUEUE_ASSIGNMENTS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/platform/fwd.h"

namespace fireflythread {

/// Table with one row for each queue, in the empty part: the service that its
/// jobs are assigned to, and the services that they were assigned to before.
/// The key is the queue's identity, so a queue that gets another name keeps its
/// row, and so does one that is removed and added again. The version of the row
/// identifies the assignment.
///
/// An earlier version of the program took the queue's name as the key. The
/// first row of a queue continues the one under its name.
///
/// A row in a shard's part says that an assignment to the shard's pool has
/// ended; see EndedAssignmentKey(). A submission requires its absence, so an
/// entry that does not know of the end stores nothing.
inline constexpr std::string_view kQueueAssignmentTable = "queue_home";

/// A caller may repeat a submission for this long.
inline constexpr std::chrono::minutes kRepeatWindow{2};

/// An assignment of a queue that has ended.
struct FormerAssignment {
  ServiceName service;
  /// Version of the queue's row during the assignment; 0 if an earlier version
  /// of the program ended it.
  std::uint64_t version = 0;
  WallTime left_at;
};

/// The assignment of a queue, as last read from its row.
struct QueueAssignment {
  ServiceName service;
  /// Assignments that ended recently.
  std::vector<FormerAssignment> former;
  /// All services that the queue was assigned to before.
  std::set<ServiceName> earlier_services;
  std::uint64_t version = 0;
};

/// The queues' rows as an entry knows them.
struct QueueAssignments {
  std::map<QueueId, QueueAssignment> rows;
  /// Rows of an earlier version of the program.
  std::map<QueueName, QueueAssignment> rows_by_name;
  /// Assignments that a submission found to have ended, by their versions.
  std::set<std::pair<QueueId, std::uint64_t>> found_ended;
};

/// Returns the shards of a service's pool.
using ShardsOfService =
    std::function<std::vector<ShardName>(const ServiceName&)>;

/// Returns the key of the row which says that the assignment of a queue with
/// this version has ended.
[[nodiscard]] auto EndedAssignmentKey(const QueueId& queue,
                                      std::uint64_t version) -> std::string;

/// Applies all rows of the table's empty part.
auto ApplyQueueAssignments(QueueAssignments& assignments,
                           const std::vector<Row>& rows) -> void;

/// Makes the transactions that assign the queues as the configuration says.
/// They must be committed in order, each only after the one before. The result
/// is empty when all rows agree.
[[nodiscard]] auto MakeQueueAssignments(const QueueAssignments& assignments,
                                        const Configuration& configuration,
                                        const ShardsOfService& shards_of,
                                        WallTime now)
    -> std::vector<Transaction>;

/// Returns the other services whose shards may hold jobs of a queue that
/// callers still repeat.
[[nodiscard]] auto FormerServices(const QueueAssignment& assignment,
                                  WallTime now) -> std::vector<ServiceName>;

/// Returns the services whose shards may hold open jobs of a queue, which stay
/// where they were accepted. `assignment` is null while none is known.
[[nodiscard]] auto ServicesWithJobs(const Queue& queue,
                                    const QueueAssignment* assignment,
                                    const Configuration& configuration)
    -> std::vector<ServiceName>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_QUEUE_ASSIGNMENTS_H_
