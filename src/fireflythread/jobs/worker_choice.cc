#include "fireflythread/jobs/worker_choice.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <tuple>

#include "fireflythread/jobs/neighbours.h"

namespace fireflythread {
namespace {

auto HasLabel(const WorkerView& view, const std::string& label) -> bool {
  return label.empty() || std::find(view.labels.begin(), view.labels.end(),
                                    label) != view.labels.end();
}

/// Returns the rack where other tasks of the step run, that of the first worker
/// by id; empty when there is none or the step may be spread.
auto PreferredRack(const ShardState& state,
                   const ShardJob& job,
                   const TaskName& name,
                   const JobStep& step) -> std::string {
  if (!step.data_rack.empty()) {
    return step.data_rack;
  }
  if (!step.same_rack || job.assigned == 0) {
    return "";
  }
  const WorkerId* first = nullptr;
  for (int index = 0; index < step.count; ++index) {
    const WorkerId& worker =
        job.progress.tasks[TaskIndex(job, name.occurrence, name.step, index)]
            .worker;
    if (!worker.empty() && (first == nullptr || worker < *first)) {
      first = &worker;
    }
  }
  return first == nullptr ? "" : state.workers.at(*first).view.rack;
}

/// One worker in this many stays without long-running tasks while others have
/// room for them: what runs for ever would else take each of them in time, and
/// a task that needs a whole worker would find none. Fewer workers than this
/// all take long-running tasks.
constexpr int kWholeDivisor = 8;

/// Returns whether a long-running task leaves enough workers without such tasks
/// if it takes one of them.
auto MayTakeWhole(UsableWorkers& usable) -> bool {
  int whole = 0;
  for (const UsableWorker& each : usable.workers) {
    ++usable.cost.workers;
    whole += each.worker->long_running_tasks == 0 ? 1 : 0;
  }
  const auto workers = static_cast<int>(usable.workers.size());
  return whole > workers / kWholeDivisor;
}

/// Preference among workers that suit a step equally; the higher one wins.
struct Preference {
  /// Takes precedence over the free capacity.
  int before_capacity = 0;
  /// Decides between workers with the same free capacity.
  int after_capacity = 0;
};

/// Returns the preference that follows from known interference. A long-running
/// task stays where it is, so it avoids interference first. A filler prefers
/// interference to a worker without any task, which could leave the pool, and
/// other finite tasks are packed as without interference.
auto PreferApart(const ShardState& state,
                 const UsableWorkers& usable,
                 const ShardWorker& worker,
                 const JobStep& step) -> Preference {
  const int harm = InterferenceOn(state, worker, step, usable.now);
  if (step.long_running) {
    return {-harm, 0};
  }
  if (step.filler) {
    return {worker.tasks.empty() ? std::numeric_limits<int>::min() : -harm, 0};
  }
  return {0, -harm};
}

auto Choose(const ShardState& state,
            UsableWorkers& usable,
            const TaskName& name,
            CapacityRule rule) -> std::optional<WorkerId> {
  const ShardJob& job = state.jobs.at(name.job);
  const JobStep& step = job.request.steps[static_cast<std::size_t>(name.step)];
  const CapacityNeed need{RequiredCapacity(step), 1, step.required_label};
  if (IsKnownMiss(usable, need, rule)) {
    return std::nullopt;
  }
  const std::string rack = PreferredRack(state, job, name, step);
  const UsableWorker* best = nullptr;
  std::tuple<bool, int, bool, int, std::int64_t, int> best_score;
  const UsableWorker* best_without = nullptr;
  std::tuple<bool, int, bool, std::int64_t> best_score_without;
  const bool may_interfere =
      rule == CapacityRule::kFree &&
      MayInterfere(state.image_pairs, KeyOfImage(step.image));
  bool has_capacity = false;
  const bool prefers_free =
      step.long_running || rule == CapacityRule::kWithoutFinite;
  const bool spares_whole = step.long_running && !MayTakeWhole(usable);
  for (const UsableWorker& each : usable.workers) {
    const ShardWorker& worker = *each.worker;
    ++usable.cost.workers;
    if (!Fits(need.each, CapacityUnder(each, rule)) ||
        !HasLabel(worker.view, need.label)) {
      continue;
    }
    has_capacity = true;
    if (step.max_per_worker > 0 &&
        CountSiblings(worker, name) >= step.max_per_worker) {
      continue;
    }
    const std::tuple<bool, int, bool, std::int64_t> without = {
        !rack.empty() && worker.view.rack == rack,
        -std::min(worker.failures_in_row, 1),
        !spares_whole || worker.long_running_tasks > 0,
        prefers_free ? each.free.millicores : -each.free.millicores,
    };
    const Preference apart =
        may_interfere ? PreferApart(state, usable, worker, step) : Preference{};
    const std::tuple score = {std::get<0>(without), std::get<1>(without),
                              std::get<2>(without), apart.before_capacity,
                              std::get<3>(without), apart.after_capacity};
    if (best == nullptr || score > best_score) {
      best = &each;
      best_score = score;
    }
    if (best_without == nullptr || without > best_score_without) {
      best_without = &each;
      best_score_without = without;
    }
  }
  usable.kept_apart += best != best_without ? 1 : 0;
  if (!has_capacity) {
    RecordMiss(usable, need, rule);
  }
  return best == nullptr ? std::nullopt : std::optional<WorkerId>(*best->id);
}

}  // namespace

auto ChooseWorker(const ShardState& state,
                  UsableWorkers& usable,
                  const TaskName& name) -> std::optional<WorkerId> {
  return Choose(state, usable, name, CapacityRule::kFree);
}

auto ChooseWorkerToReserve(const ShardState& state,
                           UsableWorkers& usable,
                           const TaskName& name) -> std::optional<WorkerId> {
  return Choose(state, usable, name, CapacityRule::kWithoutFinite);
}

}  // namespace fireflythread
