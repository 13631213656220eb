#ifndef FIREFLYTHREAD_JOBS_READY_STEP_H_
#define FIREFLYTHREAD_JOBS_READY_STEP_H_

#include <cstddef>
#include <tuple>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {

/// A step of one occurrence that is ready to run.
struct ReadyStep {
  ShardJob* job = nullptr;
  int occurrence = 0;
  int step = 0;
  /// Long-running tasks come first: time without them cannot be made up.
  bool finite = false;
  int priority = 0;
  /// The job is not expected to meet its deadline any more. Jobs that can still
  /// be in time go first, because a late result is worth little: otherwise, in
  /// an overload, each job would wait until it is late as well.
  bool late = false;
  /// The result of the job would be of no use any more. Decided only where
  /// organisations compete.
  bool expired = false;
  /// The job's organisation got more than its share lately.
  bool over_share = false;
  WallTime deadline;
  /// Position in the order of job ids, occurrences and steps, which breaks ties
  /// between otherwise equal steps.
  std::size_t position = 0;

  /// The step with the smallest key runs first.
  [[nodiscard]] auto Key() const {
    return std::make_tuple(this->finite, this->late, this->expired,
                           this->priority, this->over_share, this->deadline,
                           this->position);
  }
};

[[nodiscard]] auto SpecOf(const ReadyStep& ready) -> const JobStep&;

/// Returns the ready steps in no particular order. All waiting tasks of a step
/// may still be delayed by a failure.
[[nodiscard]] auto CollectReadySteps(ShardState& state, WallTime wall_now)
    -> std::vector<ReadyStep>;

/// Marks the steps of organisations that got more than their share of the
/// shard's workers lately.
auto MarkOverShare(const ShardState& state,
                   std::vector<ReadyStep>& ready,
                   TimePoint now) -> void;

/// Returns whether a task waits and may run now.
[[nodiscard]] auto MayRun(const TaskState& task, TimePoint now) -> bool;

/// Returns whether a step has a task that may run now.
[[nodiscard]] auto HasTaskToRun(const ReadyStep& ready, TimePoint now) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_READY_STEP_H_
