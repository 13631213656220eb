#include "fireflythread/jobs/filler_paces.h"

#include <algorithm>
#include <chrono>

#include "fireflythread/jobs/shard_orders.h"
#include "fireflythread/jobs/shard_workers.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Minimum time between two passes over the workers, of which each looks at the
/// tasks beside fillers.
constexpr milliseconds kPassPeriod{100};

/// Delay of the next order after one that was not carried out.
constexpr milliseconds kRetryDelay{250};

/// The same after an answer that a repeat would get again, for example of a
/// worker that does not know the order.
constexpr milliseconds kRefusedDelay{5000};

/// Period of the orders to a filler of which an earlier order got no answer and
/// may still be carried out.
constexpr milliseconds kUnsettledPeriod{1000};

/// A worker's limit is forgotten when it has had no filler and no change for
/// this long: other fillers may be harmless.
constexpr std::chrono::seconds kForgetDelay{30};

/// Orders of one pass; the others follow in the next.
constexpr std::size_t kMaxOrders = 64;

auto MeasurePressure(const ShardState& state, const ShardWorker& worker)
    -> ServingPressure {
  ServingPressure serving;
  serving.has_serving = worker.serving_tasks > 0;
  serving.reported_at = worker.reported_at;
  for (const TaskName& name : worker.tasks) {
    const JobStep& step = StepOf(state, name);
    const TaskState& task = TaskOf(state, name);
    if (IsServing(step) && task.phase == RunPhase::kRunning) {
      serving.pressure =
          std::max(serving.pressure,
                   static_cast<double>(task.usage) /
                       static_cast<double>(step.latency_target.count()));
    }
  }
  return serving;
}

/// Adds the orders that are due for a worker's fillers.
auto AddCommands(ShardState& state,
                 ShardWorker& worker,
                 TimePoint now,
                 std::vector<PaceCommand>& commands) -> void {
  const int percent = worker.filler_pace.percent;
  bool settled = true;
  for (const TaskName& name : worker.tasks) {
    TaskState& task = *FindTask(state, name);
    if (!StepOf(state, name).filler ||
        (task.speed_known && task.speed_percent == percent &&
         task.phase == RunPhase::kRunning)) {
      continue;
    }
    settled = false;
    if (task.phase != RunPhase::kRunning || task.pace_in_flight ||
        now < task.next_pace || commands.size() >= kMaxOrders) {
      continue;
    }
    task.pace_in_flight = true;
    commands.push_back({worker.view.id, worker.view.address, name, task.run,
                        percent, OrderFence(state)});
  }
  worker.paces_settled = settled;
}

}  // namespace

auto NextPaces(ShardState& state, TimePoint now) -> PaceOrders {
  PaceOrders orders;
  if (now - state.paced_at < kPassPeriod) {
    return orders;
  }
  state.paced_at = now;
  for (auto& [id, worker] : state.workers) {
    FillerPace& pace = worker.filler_pace;
    if (worker.fillers == 0 && now - pace.changed_at >= kForgetDelay) {
      pace = FillerPace{};
    }
    const bool limited = worker.serving_tasks > 0 || pace.percent < 100;
    if (worker.fillers == 0 || worker.gone || worker.view.address.empty() ||
        (!limited && worker.paces_settled)) {
      continue;
    }
    const ServingPressure serving = MeasurePressure(state, worker);
    const int before = pace.percent;
    if (UpdatePace(pace, serving, now)) {
      orders.changes.push_back({id, before, pace.percent, serving.pressure});
    }
    AddCommands(state, worker, now, orders.commands);
  }
  return orders;
}

auto ApplyPaceReply(ShardState& state,
                    const PaceCommand& pace,
                    const OrderReply& reply,
                    TimePoint now) -> void {
  if (reply.verdict == OrderVerdict::kFenced &&
      IsFencedOff(state, pace.fence)) {
    state.fenced_off = true;
    return;
  }
  if (reply.verdict == OrderVerdict::kOtherInstance &&
      ApplyOtherInstance(state, pace.worker, pace.address, now)) {
    return;
  }
  TaskState* task = FindTask(state, pace.task);
  if (task == nullptr || task->worker != pace.worker || task->run != pace.run) {
    return;
  }
  task->pace_in_flight = false;
  switch (reply.verdict) {
    case OrderVerdict::kDone:
      // An earlier order without an answer may be carried out after this one.
      task->speed_known = now >= task->pace_unsettled_until;
      task->speed_percent = pace.percent;
      task->next_pace =
          task->speed_known ? TimePoint() : now + kUnsettledPeriod;
      break;
    case OrderVerdict::kUnknown:
      // The order may have been carried out.
      task->speed_known = false;
      task->pace_unsettled_until = now + state.limits.late_order;
      task->next_pace = now + kRetryDelay;
      break;
    case OrderVerdict::kFenced:
    case OrderVerdict::kNotSent:
    case OrderVerdict::kUnhealthy:
    case OrderVerdict::kOtherInstance:
      task->next_pace = now + kRetryDelay;
      break;
    default:
      task->next_pace = now + kRefusedDelay;
      break;
  }
}

}  // namespace fireflythread
