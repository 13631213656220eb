#include "fireflythread/jobs/shard_jobs.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace fireflythread {
namespace {

/// Returns the tasks of a job with a run that may exist. Names, which copy the
/// job's id, are made for these tasks only.
auto AssignedTasks(const ShardJob& job) -> std::vector<TaskName> {
  std::vector<TaskName> names;
  const int occurrences = OccurrenceCount(job.request);
  const auto steps = static_cast<int>(job.request.steps.size());
  for (int occurrence = 0; occurrence < occurrences; ++occurrence) {
    for (int step = 0; step < steps; ++step) {
      const int count = job.request.steps[static_cast<std::size_t>(step)].count;
      for (int index = 0; index < count; ++index) {
        const TaskState& task =
            job.progress.tasks[TaskIndex(job, occurrence, step, index)];
        if (!task.worker.empty()) {
          names.push_back(TaskName{job.request.id, occurrence, step, index});
        }
      }
    }
  }
  return names;
}

auto AdoptRuns(ShardState& state, ShardJob& job, TimePoint now) -> void {
  for (const TaskName& name : AssignedTasks(job)) {
    const WorkerId worker = FindTask(job, name)->worker;
    AssignTask(state, name, worker, RunPhase::kUnresolved, now);
    FindTask(job, name)->inherited = true;
    FindTask(job, name)->speed_known = false;
  }
}

/// Time over which arriving work is averaged: long enough for some jobs of a
/// quiet queue, short enough to detect the start of a peak.
constexpr std::chrono::milliseconds kArrivalWindow{1500};

/// Time until a VM that is ordered now runs tasks: the move, the registration
/// and the first report of its worker.
constexpr std::chrono::milliseconds kMoveLeadTime{2000};

/// Minimum number of jobs in half a window that indicates a trend.
constexpr int kMinTrendJobs = 4;

/// Maximum extrapolated arrival rate, as a multiple of the present rate.
constexpr int kMaxGrowth = 2;

/// Totals of the jobs that were accepted within a part of the window.
struct ArrivalTotals {
  int jobs = 0;
  /// Work of the jobs, in thousandths of a core times milliseconds.
  std::int64_t work = 0;
};

/// Sums up the jobs accepted in [from, to).
auto SumArrivals(const ShardState& state, TimePoint from, TimePoint to)
    -> ArrivalTotals {
  ArrivalTotals part;
  for (const ArrivedWork& arrived : state.arrivals) {
    if (arrived.arrived_at >= from && arrived.arrived_at < to) {
      part.work += arrived.millicores * arrived.duration.count();
      ++part.jobs;
    }
  }
  return part;
}

auto RecordArrival(ShardState& state, const JobRequest& request, TimePoint now)
    -> void {
  for (const JobStep& step : request.steps) {
    if (!step.long_running && !step.filler) {
      state.arrivals.push_back(
          {now, step.size.millicores * step.count, step.estimate});
    }
  }
}

}  // namespace

auto AddJob(ShardState& state,
            JobRequest request,
            std::optional<JobProgress> progress,
            std::uint64_t version,
            TimePoint now) -> void {
  const JobId id = request.id;
  if (state.jobs.contains(id) || state.finished.contains(id)) {
    return;
  }
  ShardJob& job =
      state.jobs.emplace(id, MakeShardJob(std::move(request))).first->second;
  job.version = version;
  if (!progress) {
    RecordArrival(state, job.request, now);
    return;
  }
  job.progress = std::move(*progress);
  TallyTasks(job);
  job.has_started = std::any_of(
      job.progress.tasks.begin(), job.progress.tasks.end(),
      [](const TaskState& task) { return task.run > 0 || task.done; });
  AdoptRuns(state, job, now);
  if (IsFinal(job.progress.state)) {
    for (const TaskName& name : AssignedTasks(job)) {
      BeginStop(state, name, now);
    }
    ForgetIfFinished(state, id);
  }
}

auto CancelJob(ShardState& state, const JobId& id, TimePoint now) -> void {
  FinishJob(state, id, JobState::kCancelled, now);
}

auto FinishJob(ShardState& state,
               const JobId& id,
               JobState final_state,
               TimePoint now) -> void {
  const auto found = state.jobs.find(id);
  if (found == state.jobs.end() || IsFinal(found->second.progress.state)) {
    return;
  }
  ShardJob& job = found->second;
  job.progress.state = final_state;
  state.dirty.insert(id);
  for (const TaskName& name : AssignedTasks(job)) {
    if (FindTask(job, name)->phase == RunPhase::kPlanned) {
      ReleaseTask(state, name, now);
    } else {
      BeginStop(state, name, now);
    }
  }
}

auto ArrivingMillicores(ShardState& state, TimePoint now) -> std::int64_t {
  while (!state.arrivals.empty() &&
         now - state.arrivals.front().arrived_at > kArrivalWindow) {
    state.arrivals.pop_front();
  }
  const std::chrono::milliseconds half = kArrivalWindow / 2;
  const TimePoint middle = now - half;
  const ArrivalTotals earlier =
      SumArrivals(state, now - kArrivalWindow, middle);
  const ArrivalTotals recent = SumArrivals(state, middle, TimePoint::max());
  if (recent.jobs < kMinTrendJobs || recent.work <= earlier.work) {
    return (earlier.work + recent.work) / kArrivalWindow.count();
  }
  const std::int64_t growth =
      (recent.work - earlier.work) * kMoveLeadTime.count() / half.count();
  return std::min(recent.work + growth, recent.work * kMaxGrowth) /
         half.count();
}

auto CountWaiting(const ShardState& state) -> std::map<QueueId, int> {
  std::map<QueueId, int> counts;
  for (const auto& [id, job] : state.jobs) {
    if (job.has_started || IsFinal(job.progress.state)) {
      continue;
    }
    if (!job.request.queue.empty()) {
      ++counts[job.request.queue];
    } else if (const Queue* queue = QueueOf(state, job)) {
      ++counts[IdOf(*queue)];
    }
  }
  return counts;
}

}  // namespace fireflythread
