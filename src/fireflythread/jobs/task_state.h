#ifndef FIREFLYTHREAD_JOBS_TASK_STATE_H_
#define FIREFLYTHREAD_JOBS_TASK_STATE_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// What the owner of a task knows about its newest run.
enum class RunPhase : std::uint8_t {
  /// No run exists; one may be planned.
  kWaiting,
  /// A run is planned and being recorded in the store; no order was sent.
  kPlanned,
  /// The start was sent and not answered yet.
  kStarting,
  /// The worker confirmed the run.
  kRunning,
  /// The run may or may not exist: its start got no answer, or a former owner
  /// recorded it.
  kUnresolved,
  /// A stop was ordered.
  kStopping,
  kDone
};

/// One task. The first group of members is stored with its job; the rest is
/// what the owner learned since it took the job over.
struct TaskState {
  bool done = false;
  /// Number of the newest run, 0 before the first.
  int run = 0;
  /// Runs that ended as failed.
  int failures = 0;
  /// The worker of the newest run; empty when no run can exist.
  WorkerId worker;
  /// From which the next run resumes; empty for none.
  std::string checkpoint;

  RunPhase phase = RunPhase::kWaiting;
  /// When the phase was entered.
  TimePoint since;
  /// Earliest time of the next run.
  TimePoint not_before;
  /// The stop was confirmed; a report sent after it decides the run's fate.
  TimePoint stop_confirmed_at;
  bool stop_confirmed = false;
  /// A stop is on its way.
  bool stop_in_flight = false;
  /// The run was recorded by a former owner of the shard.
  bool inherited = false;
  /// The pass for workers that a queue's policy allows; empty for none.
  std::string ticket;
  /// Progress that the worker reported last, in percent.
  int percent = 0;
  /// Tail latency in milliseconds, or millicores in use.
  std::int64_t usage = 0;
  /// Share of its speed that the task may use, in percent.
  int speed_percent = 100;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_TASK_STATE_H_
