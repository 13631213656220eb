#include "fireflythread/jobs/min_workers.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <vector>

#include "fireflythread/jobs/ready_step.h"

namespace fireflythread {
namespace {

/// Parts of a worker in which needs are added up, so that steps of few tasks
/// share a worker.
constexpr std::int64_t kPartsOfWorker = 1000;

/// What the workers that stay have once their finite tasks have ended.
struct Room {
  /// The largest worker.
  TaskSize whole;
  /// What each worker with long-running tasks has beside them.
  std::vector<TaskSize> beside;
  int workers = 0;
};

auto IsStaying(const ShardWorker& worker) -> bool {
  return worker.listed && !worker.gone && !worker.drain_requested &&
         !worker.view.draining;
}

auto MeasureRoom(const ShardState& state) -> Room {
  Room room;
  for (const auto& [id, worker] : state.workers) {
    if (!worker.listed) {
      continue;
    }
    if (Fits(room.whole, worker.view.capacity)) {
      room.whole = worker.view.capacity;
    }
    room.workers += IsStaying(worker) ? 1 : 0;
    if (worker.long_running_tasks > 0 && IsStaying(worker)) {
      room.beside.push_back(
          Minus(worker.view.capacity, worker.long_running_used));
    }
  }
  return room;
}

auto NeedsWholeWorker(const Room& room, const TaskSize& need) -> bool {
  return Fits(need, room.whole) &&
         std::none_of(room.beside.begin(), room.beside.end(),
                      [&need](const TaskSize& beside) -> bool {
                        return Fits(need, beside);
                      });
}

/// Returns how many tasks one whole worker holds; at least 1.
auto TasksOnWhole(const Room& room, const TaskSize& need) -> std::int64_t {
  std::int64_t tasks = std::numeric_limits<int>::max();
  if (need.millicores > 0) {
    tasks = std::min(tasks, room.whole.millicores / need.millicores);
  }
  if (need.memory_mb > 0) {
    tasks = std::min(tasks, room.whole.memory_mb / need.memory_mb);
  }
  if (need.accelerators > 0) {
    tasks = std::min(tasks, room.whole.accelerators / need.accelerators);
  }
  return std::max<std::int64_t>(tasks, 1);
}

auto RoundUp(std::int64_t parts) -> int {
  return static_cast<int>((parts + kPartsOfWorker - 1) / kPartsOfWorker);
}

/// Counts the workers on which a task runs that needs a whole one.
auto CountRunning(const ShardState& state, const Room& room) -> int {
  return static_cast<int>(std::count_if(
      state.workers.begin(), state.workers.end(),
      [&](const auto& entry) -> bool {
        const ShardWorker& worker = entry.second;
        return worker.listed && worker.long_running_tasks == 0 &&
               std::any_of(worker.tasks.begin(), worker.tasks.end(),
                           [&](const TaskName& name) -> bool {
                             return NeedsWholeWorker(
                                 room, RequiredCapacity(StepOf(state, name)));
                           });
      }));
}

/// Returns how many tasks of a long-running step find no worker that stays,
/// also once all finite tasks have ended.
auto CountHomeless(const ShardState& state, const ReadyStep& ready) -> int {
  const JobStep& step = SpecOf(ready);
  const TaskSize need = RequiredCapacity(step);
  int homeless = TallyOf(*ready.job, ready.occurrence, ready.step).waiting;
  for (const auto& [id, worker] : state.workers) {
    TaskSize room = Minus(worker.view.capacity, worker.long_running_used);
    const TaskName first{ready.job->request.id, ready.occurrence, ready.step,
                         0};
    int places = step.max_per_worker > 0
                     ? step.max_per_worker - CountSiblings(worker, first)
                     : homeless;
    while (IsStaying(worker) && places > 0 && homeless > 0 &&
           Fits(need, room)) {
      room = Minus(room, need);
      --places;
      --homeless;
    }
  }
  return homeless;
}

/// Returns how many further workers a long-running step needs.
auto CountLackingFor(const ShardState& state,
                     const Room& room,
                     const ReadyStep& ready) -> int {
  const JobStep& step = SpecOf(ready);
  const TaskSize need = RequiredCapacity(step);
  if (!Fits(need, room.whole)) {
    return 0;
  }
  std::int64_t on_each = TasksOnWhole(room, need);
  if (step.max_per_worker > 0) {
    on_each = std::min<std::int64_t>(on_each, step.max_per_worker);
  }
  const int homeless = CountHomeless(state, ready);
  return static_cast<int>((homeless + on_each - 1) / on_each);
}

}  // namespace

auto CountMinWorkers(ShardState& state, WallTime wall_now, TimePoint now)
    -> MinWorkers {
  const Room room = MeasureRoom(state);
  std::int64_t in_time = 0;
  std::int64_t late = 0;
  int lacking = 0;
  for (const ReadyStep& ready : CollectReadySteps(state, wall_now)) {
    if (!HasTaskToRun(ready, now)) {
      continue;
    }
    if (!ready.finite) {
      // Tasks of several steps share the workers that come.
      lacking = std::max(lacking, CountLackingFor(state, room, ready));
      continue;
    }
    const TaskSize need = RequiredCapacity(SpecOf(ready));
    if (room.beside.empty() || !NeedsWholeWorker(room, need)) {
      continue;
    }
    const int waiting =
        TallyOf(*ready.job, ready.occurrence, ready.step).waiting;
    const std::int64_t parts =
        waiting * kPartsOfWorker / TasksOnWhole(room, need);
    (ready.late ? late : in_time) += parts;
  }
  const auto long_running = static_cast<int>(room.beside.size());
  const int whole =
      room.beside.empty() ? 0 : CountRunning(state, room) + RoundUp(in_time);
  const int spread = lacking > 0 ? room.workers + lacking : 0;
  return {std::max(long_running + whole, spread),
          std::max(long_running + whole + RoundUp(late), spread)};
}

}  // namespace fireflythread
