#include "fireflythread/jobs/worker_lease.h"

#include <algorithm>

#include "fireflythread/base/assert.h"
#include "fireflythread/jobs/task_state.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Covers the rounding of clock readings to milliseconds.
constexpr milliseconds kClockRounding{10};

/// Returns the maximum time until a lease that has `left` to run on a worker's
/// clock has expired and its runs are stopped, for a slow clock.
auto MaxLeaseDuration(const ShardLimits& limits, milliseconds left)
    -> milliseconds {
  return left * 100 / (100 - limits.slow_clock_percent) + limits.stop_time;
}

/// Returns when the leases have certainly expired that a new incarnation of a
/// worker may have got until `until` by orders with deadlines on the former
/// one's clock, which it shortens to its longest lease.
auto LongLeaseExpiry(const ShardState& state, TimePoint until) -> TimePoint {
  return until + MaxLeaseDuration(state.limits, state.limits.max_run_lease);
}

/// Returns the same for an incarnation that was noticed at `noticed_at`: orders
/// sent before may have been carried out later.
auto RestartExpiry(const ShardState& state, TimePoint noticed_at) -> TimePoint {
  return LongLeaseExpiry(state, noticed_at + state.limits.late_order);
}

/// Returns the time from `now` until `until`, rounded up, but no less than 0.
auto TimeLeft(TimePoint until, TimePoint now) -> milliseconds {
  return std::max(std::chrono::ceil<milliseconds>(until - now),
                  milliseconds(0));
}

/// Returns when every lease given to the worker's known incarnation has
/// certainly expired.
auto IncarnationLeaseExpiry(const ShardState& state, const ShardWorker& worker)
    -> TimePoint {
  const ShardLimits& limits = state.limits;
  if (worker.clock) {
    const milliseconds left = worker.latest_deadline - worker.clock->clock;
    return worker.clock->received_at + MaxLeaseDuration(limits, left);
  }
  const auto unresponsive = state.unresponsive_until.find(worker.view.id);
  if (unresponsive != state.unresponsive_until.end()) {
    return unresponsive->second;
  }
  // Only a former owner can have given leases.
  const milliseconds extended =
      state.former_owner_stopped
          ? milliseconds(0)
          : limits.extend_without_store - limits.takeover_after;
  TimePoint last_lease = state.owned_since + extended;
  if (state.former_owner_ended_at) {
    last_lease = std::min(last_lease, *state.former_owner_ended_at);
  }
  return last_lease + MaxLeaseDuration(limits, limits.run_lease);
}

/// Returns until when the runs of a worker must be held by what the former
/// owner said of it; the epoch if it said nothing.
auto InheritedHold(const ShardState& state, const WorkerId& worker)
    -> TimePoint {
  TimePoint hold;
  for (const auto* known :
       {&state.unresponsive_until, &state.restarted_until}) {
    const auto until = known->find(worker);
    if (until != known->end()) {
      hold = std::max(hold, until->second);
    }
  }
  return hold;
}

/// Returns when every lease that this or a former owner gave to an unresponsive
/// worker has certainly expired.
auto LeaseExpiry(const ShardState& state, const ShardWorker& worker)
    -> TimePoint {
  TimePoint expiry = IncarnationLeaseExpiry(state, worker);
  if (worker.restart_noticed_at) {
    expiry = std::max(expiry, RestartExpiry(state, *worker.restart_noticed_at));
  }
  // A former owner may have given a lease that is longer than this owner's
  // first reading of the clock suggests.
  return std::max(expiry, InheritedHold(state, worker.view.id));
}

/// Returns whether a start of this owner may have reached an incarnation of the
/// worker that the owner does not know.
auto MayBeOfUnknownIncarnation(const TaskState& task) -> bool {
  return !task.inherited && (task.phase == RunPhase::kStarting ||
                             task.phase == RunPhase::kUnresolved);
}

/// Returns when the lease of one run has certainly expired.
auto RunExpiry(const ShardState& state,
               const ShardWorker& worker,
               const TaskState& task) -> TimePoint {
  const TimePoint expiry = LeaseExpiry(state, worker);
  return MayBeOfUnknownIncarnation(task)
             ? std::max(expiry, LongLeaseExpiry(state, task.since))
             : expiry;
}

}  // namespace

auto EstimateClock(const ShardWorker& worker, TimePoint now) -> milliseconds {
  FIREFLYTHREAD_ASSERT(worker.clock.has_value(),
                       "the worker must have a clock reading");
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(now - worker.clock->received_at);
  return worker.clock->clock + elapsed;
}

auto HasClockRestarted(const ShardLimits& limits,
                       const ShardWorker& worker,
                       milliseconds clock,
                       TimePoint taken_after) -> bool {
  if (!worker.clock) {
    return false;
  }
  auto elapsed = std::chrono::duration_cast<milliseconds>(
      taken_after - worker.clock->received_at);
  if (elapsed.count() > 0) {
    elapsed = elapsed * (100 - limits.slow_clock_percent) / 100;
  }
  return clock + kClockRounding < worker.clock->clock + elapsed;
}

auto ApplyClockReading(ShardWorker& worker,
                       milliseconds clock,
                       TimePoint received_at) -> void {
  worker.clock = WorkerClock{clock, received_at};
}

auto NextDeadline(const ShardLimits& limits, ShardWorker& worker, TimePoint now)
    -> milliseconds {
  const milliseconds deadline = EstimateClock(worker, now) + limits.run_lease;
  worker.latest_deadline = std::max(worker.latest_deadline, deadline);
  return deadline;
}

auto HasLeaseExpired(const ShardState& state,
                     const ShardWorker& worker,
                     TimePoint now) -> bool {
  return now >= LeaseExpiry(state, worker);
}

auto HasRunExpired(const ShardState& state,
                   const ShardWorker& worker,
                   const TaskState& task,
                   TimePoint now) -> bool {
  return now >= RunExpiry(state, worker, task);
}

auto TimeUntilLeaseExpiry(const ShardState& state,
                          const ShardWorker& worker,
                          TimePoint now) -> milliseconds {
  TimePoint expiry = LeaseExpiry(state, worker);
  if (expiry <= now) {
    // Only runs that may be of an unknown incarnation are still held.
    for (const TaskName& name : worker.tasks) {
      expiry = std::max(expiry, RunExpiry(state, worker, TaskOf(state, name)));
    }
  }
  return TimeLeft(expiry, now);
}

auto MayHoldLongLease(const ShardState& state,
                      const ShardWorker& worker,
                      TimePoint now) -> bool {
  return now < InheritedHold(state, worker.view.id) ||
         (worker.restart_noticed_at &&
          now < RestartExpiry(state, *worker.restart_noticed_at));
}

auto ApplyFormerOwnerEnd(
    ShardState& state,
    const std::map<WorkerId, milliseconds>& unresponsive_workers,
    TimePoint now) -> void {
  state.former_owner_ended_at = now;
  for (const auto& [worker, left] : unresponsive_workers) {
    // It is later knowledge than the row, and the only one of a restart that
    // was noticed after the row was stored.
    state.unresponsive_until[worker] = now + left;
  }
}

auto UnresponsiveWorkers(const ShardState& state, TimePoint now)
    -> std::map<WorkerId, milliseconds> {
  std::map<WorkerId, milliseconds> unresponsive;
  for (const auto& [id, worker] : state.workers) {
    const bool answers = worker.clock && worker.failed_polls == 0;
    if (worker.tasks.empty() ||
        (answers && !MayHoldLongLease(state, worker, now))) {
      continue;
    }
    unresponsive.emplace(id, TimeUntilLeaseExpiry(state, worker, now));
  }
  // This owner may have to pass on what it was told before it has loaded the
  // jobs.
  for (const auto* known :
       {&state.unresponsive_until, &state.restarted_until}) {
    for (const auto& [id, until] : *known) {
      if (now < until) {
        unresponsive.emplace(id, TimeLeft(InheritedHold(state, id), now));
      }
    }
  }
  for (const auto& [id, until] : state.released_until) {
    unresponsive.emplace(id, milliseconds(0));
  }
  return unresponsive;
}

}  // namespace fireflythread
