#ifndef FIREFLYTHREAD_JOBS_JOB_STEP_H_
#define FIREFLYTHREAD_JOBS_JOB_STEP_H_

#include <chrono>
#include <string>
#include <vector>

#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

/// One step of a job: `count` tasks of the same kind.
struct JobStep {
  int count = 0;
  TaskSize size;
  /// The caller's rough estimate of a task's run time.
  std::chrono::milliseconds estimate{0};
  /// Indexes of earlier steps whose tasks must all be done before this step
  /// starts.
  std::vector<int> after;
  /// Tasks save checkpoints from which a later run resumes.
  bool checkpointing = false;
  /// All tasks run together or not at all.
  bool gang = false;
  /// Tasks run slower when they are spread over several racks.
  bool same_rack = false;
  /// Copies of a task may run at the same time.
  bool speculative = false;
  /// Tasks run until the job is cancelled and are restarted whenever they end.
  bool long_running = false;
  /// Tasks use only capacity that other tasks leave unused: their cores do not
  /// count as used.
  bool filler = false;
  /// Label that a worker must have; empty for none.
  std::string required_label;
  /// Rack that stores the input data; empty for none.
  std::string data_rack;
  /// Maximum number of tasks of one occurrence of this step on a worker; 0 for
  /// no limit.
  int max_per_worker = 0;
  /// Name of the image that the tasks run; tasks with the same image are
  /// expected to behave alike.
  std::string image;
  /// Tail latency that a serving task must keep; zero for none.
  std::chrono::milliseconds latency_target{0};
  /// Maximum number of tasks that the system may make unavailable at the same
  /// time.
  int disruption_budget = 0;
  bool has_disruption_budget = false;
};

/// Returns whether the tasks of this step are serving tasks: they report their
/// tail latency, which must stay below a target.
[[nodiscard]] inline auto IsServing(const JobStep& step) -> bool {
  return step.latency_target.count() > 0 && !step.filler;
}

/// Returns the capacity that a task of this step takes from its worker. The
/// cores of a filler do not count.
[[nodiscard]] inline auto RequiredCapacity(const JobStep& step) -> TaskSize {
  TaskSize capacity = step.size;
  if (step.filler) {
    capacity.millicores = 0;
  }
  return capacity;
}

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_JOB_STEP_H_
