#ifndef FIREFLYTHREAD_JOBS_TASK_STATE_H_
#define FIREFLYTHREAD_JOBS_TASK_STATE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// The phase of a task's newest run, as the owner of its shard knows it.
enum class RunPhase : std::uint8_t {
  /// No run exists; one may be planned.
  kWaiting,
  /// A run is planned and its record is being stored; no order was sent.
  kPlanned,
  /// The start was sent and has not been answered.
  kStarting,
  /// The worker confirmed the run.
  kRunning,
  /// The run may or may not exist: its start got no answer, or a former owner
  /// recorded it.
  kUnresolved,
  /// A stop was requested.
  kStopping,
  kDone
};

/// Returns "waiting", "planned" and so on, for logs and metrics.
[[nodiscard]] auto RunPhaseName(RunPhase phase) -> std::string_view;

/// The state of one task. The first group of members is stored with its job;
/// the rest is known only since the owner acquired the shard.
struct TaskState {
  bool done = false;
  /// Number of the newest run, 0 before the first.
  int run = 0;
  /// Number of failed runs.
  int failures = 0;
  /// The worker of the newest run; empty when no run can exist.
  WorkerId worker;
  /// Checkpoint from which the next run resumes; empty for none.
  std::string checkpoint;

  RunPhase phase = RunPhase::kWaiting;
  /// Time at which the phase was entered.
  TimePoint since;
  /// Earliest time of the next run.
  TimePoint not_before;
  /// Time at which the worker confirmed the stop; the report to a poll sent
  /// later tells whether the run has ended.
  TimePoint stop_confirmed_at;
  bool stop_confirmed = false;
  /// A stop order is in flight.
  bool stop_in_flight = false;
  /// The run was recorded by a former owner of the shard.
  bool inherited = false;
  /// Ticket for the workers that a queue's policy allows; empty for none.
  std::string ticket;
  /// Last reported progress, in percent.
  int percent = 0;
  /// Tail latency in milliseconds, or used millicores.
  std::int64_t usage = 0;
  /// Speed limit of the task, in percent of its full speed.
  int speed_percent = 100;
  /// The worker is known to apply `speed_percent`. False for a run of a former
  /// owner, and after an order without an answer.
  bool speed_known = true;
  /// An order that sets the speed limit is in flight.
  bool pace_in_flight = false;
  /// Earliest time of the next such order.
  TimePoint next_pace;
  /// Until when an order without an answer may still be carried out.
  TimePoint pace_unsettled_until;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_TASK_STATE_H_
