#ifndef FIREFLYTHREAD_JOBS_USABLE_WORKERS_H_
#define FIREFLYTHREAD_JOBS_USABLE_WORKERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/plan_cost.h"
#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

/// What a worker has left, or would have without its present tasks.
enum class CapacityRule : std::uint8_t { kFree, kTotal };

/// A worker that may get starts.
struct UsableWorker {
  const WorkerId* id = nullptr;
  const ShardWorker* worker = nullptr;
  TaskSize free;
};

/// The room that some tasks of one kind need.
struct CapacityNeed {
  TaskSize each;
  int count = 1;
  /// Label that their workers must have; empty for none.
  std::string label;
};

/// The workers that may get starts in one planning step. The state that they
/// point into must outlive them, and whoever changes a worker's tasks calls
/// UpdateFreeCapacity().
struct UsableWorkers {
  /// By id.
  std::vector<UsableWorker> workers;
  /// A worker was taken out for a task that waits for its room.
  bool reserved = false;
  /// The most of each resource that any worker has, so that a need beyond it
  /// is turned away without a look at the workers.
  TaskSize max_free;
  TaskSize max_total;
  /// Needs that found no worker. Room only shrinks within a step, so equal and
  /// larger needs find none either.
  std::vector<CapacityNeed> free_misses;
  std::vector<CapacityNeed> total_misses;
  PlanCost cost;
};

[[nodiscard]] auto FindUsableWorkers(const ShardState& state, TimePoint now)
    -> UsableWorkers;

/// Takes in what the tasks of a worker use now.
auto UpdateFreeCapacity(UsableWorkers& usable, const WorkerId& worker) -> void;

/// Keeps a worker's room for a task that waits: nothing else starts there.
auto ReserveCapacity(UsableWorkers& usable, const WorkerId& worker) -> void;

[[nodiscard]] auto CapacityUnder(const UsableWorker& worker, CapacityRule rule)
    -> TaskSize;

/// Whether it is known without a look at each worker that no room is left.
[[nodiscard]] auto IsKnownMiss(const UsableWorkers& usable,
                               const CapacityNeed& need,
                               CapacityRule rule) -> bool;

/// Remembers that the workers' sizes and labels leave no room for a need.
auto RecordMiss(UsableWorkers& usable,
                const CapacityNeed& need,
                CapacityRule rule) -> void;

/// Whether the free room holds all tasks of a need, whatever their labels.
[[nodiscard]] auto HasCapacityForAll(UsableWorkers& usable,
                                     const CapacityNeed& need) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_USABLE_WORKERS_H_
