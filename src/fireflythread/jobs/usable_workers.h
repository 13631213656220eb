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

/// Which capacity of a worker is compared with a need: the free capacity
/// (kFree), or that which is left once its finite tasks have ended
/// (kWithoutFinite).
enum class CapacityRule : std::uint8_t { kFree, kWithoutFinite };

/// A worker that may get starts.
struct UsableWorker {
  const WorkerId* id = nullptr;
  const ShardWorker* worker = nullptr;
  TaskSize free;
};

/// The capacity that a number of equal tasks need.
struct CapacityNeed {
  TaskSize each;
  int count = 1;
  /// Label that the workers must have; empty for none.
  std::string label;
};

/// The workers that may get starts in one planning step. The state that they
/// point into must outlive them, and every change of a worker's tasks must be
/// followed by UpdateFreeCapacity().
struct UsableWorkers {
  /// Sorted by id.
  std::vector<UsableWorker> workers;
  /// A worker was removed because its capacity is reserved for a waiting task.
  bool reserved = false;
  /// Maximum of each resource over all workers, so that a larger need is
  /// rejected without a search of the workers.
  TaskSize max_free;
  TaskSize max_without_finite;
  /// Needs for which no worker was found. Free capacity only shrinks within a
  /// planning step, so equal and larger needs find no worker either.
  std::vector<CapacityNeed> free_misses;
  std::vector<CapacityNeed> without_finite_misses;
  PlanCost cost;
  /// Time of the planning step.
  TimePoint now;
  /// Choices that evidence of interference has changed.
  int kept_apart = 0;
};

[[nodiscard]] auto FindUsableWorkers(const ShardState& state, TimePoint now)
    -> UsableWorkers;

/// Updates the free capacity of a worker after its tasks have changed.
auto UpdateFreeCapacity(UsableWorkers& usable, const WorkerId& worker) -> void;

/// Reserves a worker's capacity for a waiting task: no other task starts there.
auto ReserveCapacity(UsableWorkers& usable, const WorkerId& worker) -> void;

[[nodiscard]] auto CapacityUnder(const UsableWorker& worker, CapacityRule rule)
    -> TaskSize;

/// Returns whether earlier searches or the maxima show that no worker can hold
/// a need, without a search of the workers.
[[nodiscard]] auto IsKnownMiss(const UsableWorkers& usable,
                               const CapacityNeed& need,
                               CapacityRule rule) -> bool;

/// Records that no worker has the labels and the capacity for a need.
auto RecordMiss(UsableWorkers& usable,
                const CapacityNeed& need,
                CapacityRule rule) -> void;

/// Returns whether the free capacity of all workers together holds all tasks of
/// a need. Ignores labels.
[[nodiscard]] auto HasCapacityForAll(UsableWorkers& usable,
                                     const CapacityNeed& need) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_USABLE_WORKERS_H_
