#include "fireflythread/jobs/worker_need.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <vector>

#include "fireflythread/jobs/ready_step.h"

namespace fireflythread {
namespace {

/// Shares of a worker in which needs are added up, so that steps of few tasks
/// share a worker.
constexpr std::int64_t kSharesOfWorker = 1000;

/// What the workers have once their finite tasks have ended.
struct Room {
  /// The capacity of the largest worker.
  TaskSize largest;
  /// What each usable worker with long-running tasks has beside them.
  std::vector<TaskSize> beside;
  /// Usable workers without long-running tasks.
  int empty_workers = 0;
  /// Workers with long-running tasks, including those that are to leave.
  int long_running_workers = 0;
};

/// Finite tasks of one size, waiting or running.
struct Demand {
  TaskSize need;
  int tasks = 0;
  bool late = false;
};

auto IsUsable(const ShardWorker& worker) -> bool {
  return worker.listed && !worker.gone && worker.failed_polls == 0 &&
         !worker.drain_requested && !worker.view.draining;
}

auto MeasureRoom(const ShardState& state) -> Room {
  Room room;
  for (const auto& [id, worker] : state.workers) {
    if (!worker.listed) {
      continue;
    }
    if (worker.view.capacity.millicores > room.largest.millicores) {
      room.largest = worker.view.capacity;
    }
    room.long_running_workers += worker.long_running_tasks > 0 ? 1 : 0;
    if (!IsUsable(worker)) {
      continue;
    }
    if (worker.long_running_tasks > 0) {
      room.beside.push_back(
          Minus(worker.view.capacity, worker.long_running_used));
    } else {
      ++room.empty_workers;
    }
  }
  return room;
}

/// Returns how many tasks a capacity holds.
auto CountFitting(const TaskSize& need, const TaskSize& capacity)
    -> std::int64_t {
  if (!Fits(need, capacity)) {
    return 0;
  }
  std::int64_t tasks = std::numeric_limits<int>::max();
  if (need.millicores > 0) {
    tasks = std::min(tasks, capacity.millicores / need.millicores);
  }
  if (need.memory_mb > 0) {
    tasks = std::min(tasks, capacity.memory_mb / need.memory_mb);
  }
  if (need.accelerators > 0) {
    tasks = std::min(tasks, capacity.accelerators / need.accelerators);
  }
  return tasks;
}

auto FitsBesideAll(const Room& room, const TaskSize& need) -> bool {
  return std::all_of(
      room.beside.begin(), room.beside.end(),
      [&need](const TaskSize& beside) -> bool { return Fits(need, beside); });
}

/// Adds tasks that don't fit on each worker. For all others the sum of the
/// cores says how many workers they need.
auto AddDemand(std::vector<Demand>& demands,
               const Room& room,
               const JobStep& step,
               int tasks,
               bool late) -> void {
  const TaskSize need = RequiredCapacity(step);
  const bool counts = !step.filler && !step.long_running &&
                      Fits(need, room.largest) && !FitsBesideAll(room, need);
  if (counts && tasks > 0) {
    demands.push_back({need, tasks, late});
  }
}

/// Adds the tasks that run on workers without long-running tasks, which they
/// need until they end.
auto AddRunning(const ShardState& state,
                const Room& room,
                std::vector<Demand>& demands) -> void {
  for (const auto& [id, worker] : state.workers) {
    if (!IsUsable(worker) || worker.long_running_tasks > 0) {
      continue;
    }
    for (const TaskName& name : worker.tasks) {
      AddDemand(demands, room, StepOf(state, name), 1, false);
    }
  }
}

/// Returns how many workers without long-running tasks the demands need, those
/// of late jobs included or not. The largest tasks come first: a place that
/// holds one of them holds any smaller one.
auto CountEmptyNeeded(const Room& room,
                      const std::vector<Demand>& largest_first,
                      bool with_late_work) -> int {
  std::int64_t demanded = 0;
  std::int64_t needed = 0;
  for (const Demand& demand : largest_first) {
    if (demand.late && !with_late_work) {
      continue;
    }
    const std::int64_t on_empty = CountFitting(demand.need, room.largest);
    demanded += demand.tasks * kSharesOfWorker / on_empty;
    std::int64_t beside = 0;
    for (const TaskSize& capacity : room.beside) {
      beside += CountFitting(demand.need, capacity);
    }
    needed = std::max(needed, demanded - beside * kSharesOfWorker / on_empty);
  }
  return static_cast<int>((needed + kSharesOfWorker - 1) / kSharesOfWorker);
}

/// Returns how many waiting tasks of a long-running step find no usable worker,
/// also once all finite tasks have ended.
auto CountHomeless(const ShardState& state, const ReadyStep& ready) -> int {
  const JobStep& step = SpecOf(ready);
  const TaskSize need = RequiredCapacity(step);
  const TaskName first{ready.job->request.id, ready.occurrence, ready.step, 0};
  std::int64_t homeless =
      TallyOf(*ready.job, ready.occurrence, ready.step).waiting;
  for (const auto& [id, worker] : state.workers) {
    if (homeless <= 0) {
      return 0;
    }
    if (!IsUsable(worker)) {
      continue;
    }
    std::int64_t places = CountFitting(
        need, Minus(worker.view.capacity, worker.long_running_used));
    if (step.max_per_worker > 0) {
      places = std::clamp<std::int64_t>(
          step.max_per_worker - CountSiblings(worker, first), 0, places);
    }
    homeless -= places;
  }
  return static_cast<int>(std::max<std::int64_t>(homeless, 0));
}

/// Returns how many further workers a long-running step needs.
auto CountLackingFor(const ShardState& state,
                     const Room& room,
                     const ReadyStep& ready) -> int {
  const JobStep& step = SpecOf(ready);
  std::int64_t on_each = CountFitting(RequiredCapacity(step), room.largest);
  if (on_each == 0) {
    return 0;
  }
  if (step.max_per_worker > 0) {
    on_each = std::min<std::int64_t>(on_each, step.max_per_worker);
  }
  const int homeless = CountHomeless(state, ready);
  return static_cast<int>((homeless + on_each - 1) / on_each);
}

}  // namespace

auto MeasureWorkerNeed(ShardState& state, WallTime wall_now, TimePoint now)
    -> WorkerNeed {
  const Room room = MeasureRoom(state);
  std::vector<Demand> demands;
  int lacking = 0;
  for (const ReadyStep& ready : CollectReadySteps(state, wall_now)) {
    if (!HasTaskToRun(ready, now)) {
      continue;
    }
    if (ready.finite) {
      const int waiting =
          TallyOf(*ready.job, ready.occurrence, ready.step).waiting;
      AddDemand(demands, room, SpecOf(ready), waiting, ready.late);
    } else {
      // Tasks of several steps share the workers that come.
      lacking = std::max(lacking, CountLackingFor(state, room, ready));
    }
  }
  AddRunning(state, room, demands);
  std::sort(demands.begin(), demands.end(),
            [](const Demand& left, const Demand& right) -> bool {
              return left.need.millicores > right.need.millicores;
            });
  const int empty_in_time = CountEmptyNeeded(room, demands, false);
  const int empty = CountEmptyNeeded(room, demands, true);
  WorkerNeed need;
  need.kept = room.long_running_workers + empty_in_time;
  need.kept_with_late_work = room.long_running_workers + empty;
  need.lacking = std::max(lacking, empty_in_time - room.empty_workers);
  need.lacking_with_late_work =
      std::max({need.lacking, empty - room.empty_workers, 0});
  need.lacking = std::max(need.lacking, 0);
  return need;
}

}  // namespace fireflythread
