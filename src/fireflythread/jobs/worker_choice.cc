#include "fireflythread/jobs/worker_choice.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>

namespace fireflythread {
namespace {

auto HasLabel(const WorkerView& view, const std::string& label) -> bool {
  return label.empty() || std::find(view.labels.begin(), view.labels.end(),
                                    label) != view.labels.end();
}

/// Tasks of the same step and occurrence on a worker.
auto CountSiblings(const ShardWorker& worker, const TaskName& name) -> int {
  const TaskName first{name.job, name.occurrence, name.step, 0};
  int count = 0;
  for (auto next = worker.tasks.lower_bound(first);
       next != worker.tasks.end() && next->job == name.job &&
       next->occurrence == name.occurrence && next->step == name.step;
       ++next) {
    ++count;
  }
  return count;
}

auto IsUsable(const ShardWorker& worker, TimePoint now) -> bool {
  return worker.listed && worker.confirmed && worker.clock &&
         !worker.view.draining && !worker.vacating && !worker.gone &&
         worker.failed_looks == 0 && now >= worker.cooldown_until;
}

/// The rack where other tasks of the step run; empty when there is none or the
/// step may be spread.
auto PreferredRack(const ShardState& state,
                   const TaskName& name,
                   const JobStep& step) -> std::string {
  if (!step.data_rack.empty()) {
    return step.data_rack;
  }
  if (!step.same_rack) {
    return "";
  }
  for (const auto& [id, worker] : state.workers) {
    if (CountSiblings(worker, name) > 0) {
      return worker.view.rack;
    }
  }
  return "";
}

/// What a worker has left, or would have without its present tasks.
enum class RoomRule : std::uint8_t { kFree, kWhole };

auto Choose(const ShardState& state,
            const TaskName& name,
            const std::set<WorkerId>& reserved,
            RoomRule rule,
            TimePoint now) -> std::optional<WorkerId> {
  const JobStep& step = StepOf(state, name);
  TaskSize needed = step.size;
  if (step.filler) {
    needed.millicores = 0;
  }
  const std::string rack = PreferredRack(state, name, step);
  std::optional<WorkerId> best;
  std::tuple<bool, int, std::int64_t> best_score;
  for (const auto& [id, worker] : state.workers) {
    const TaskSize free = Minus(worker.view.capacity, worker.used);
    const TaskSize room = rule == RoomRule::kFree ? free : worker.view.capacity;
    if (!IsUsable(worker, now) || reserved.contains(id) ||
        !HasLabel(worker.view, step.required_label) || !Fits(needed, room)) {
      continue;
    }
    if (step.max_per_worker > 0 &&
        CountSiblings(worker, name) >= step.max_per_worker) {
      continue;
    }
    const std::tuple<bool, int, std::int64_t> score = {
        !rack.empty() && worker.view.rack == rack,
        -std::min(worker.failures_in_row, 1),
        step.long_running ? free.millicores : -free.millicores,
    };
    if (!best || score > best_score) {
      best = id;
      best_score = score;
    }
  }
  return best;
}

}  // namespace

auto ChooseWorker(const ShardState& state,
                  const TaskName& name,
                  const std::set<WorkerId>& reserved,
                  TimePoint now) -> std::optional<WorkerId> {
  return Choose(state, name, reserved, RoomRule::kFree, now);
}

auto ChooseWorkerToClear(const ShardState& state,
                         const TaskName& name,
                         const std::set<WorkerId>& reserved,
                         TimePoint now) -> std::optional<WorkerId> {
  return Choose(state, name, reserved, RoomRule::kWhole, now);
}

}  // namespace fireflythread
