#include "fireflythread/jobs/shard_state.h"

#include <algorithm>

#include "fireflythread/base/assert.h"

namespace fireflythread {
namespace {

auto AllocateCapacity(ShardWorker& worker, const JobStep& step) -> void {
  const TaskSize capacity = RequiredCapacity(step);
  worker.used = Plus(worker.used, capacity);
  if (step.long_running) {
    worker.long_running_used = Plus(worker.long_running_used, capacity);
    ++worker.long_running_tasks;
  }
  worker.serving_tasks += IsServing(step) ? 1 : 0;
  if (step.filler) {
    ++worker.fillers;
    worker.paces_settled = false;
  }
}

auto FreeUpCapacity(ShardWorker& worker, const JobStep& step) -> void {
  const TaskSize capacity = RequiredCapacity(step);
  worker.used = Minus(worker.used, capacity);
  if (step.long_running) {
    worker.long_running_used = Minus(worker.long_running_used, capacity);
    --worker.long_running_tasks;
  }
  worker.serving_tasks -= IsServing(step) ? 1 : 0;
  worker.fillers -= step.filler ? 1 : 0;
}

auto FindByName(const ShardState& state, const QueueName& name)
    -> const Queue* {
  const auto queue = std::find_if(
      state.queues.begin(), state.queues.end(),
      [&](const auto& entry) -> bool { return entry.second.name == name; });
  return queue == state.queues.end() ? nullptr : &queue->second;
}

}  // namespace

auto FindTask(ShardState& state, const TaskName& name) -> TaskState* {
  const auto job = state.jobs.find(name.job);
  return job == state.jobs.end() ? nullptr : FindTask(job->second, name);
}

auto TaskOf(const ShardState& state, const TaskName& name) -> const TaskState& {
  const ShardJob& job = state.jobs.at(name.job);
  return job.progress
      .tasks[TaskIndex(job, name.occurrence, name.step, name.index)];
}

auto QueueOf(const ShardState& state, const ShardJob& job) -> const Queue* {
  if (job.request.queue.empty()) {
    return FindByName(state, job.request.queue_name);
  }
  const auto queue = state.queues.find(job.request.queue);
  return queue == state.queues.end() ? nullptr : &queue->second;
}

auto TermsOf(const ShardState& state, const ShardJob& job)
    -> const QueueTerms* {
  if (const Queue* queue = QueueOf(state, job)) {
    return &queue->terms;
  }
  return job.request.terms ? &*job.request.terms : nullptr;
}

auto StepOf(const ShardState& state, const TaskName& name) -> const JobStep& {
  const auto job = state.jobs.find(name.job);
  FIREFLYTHREAD_ASSERT(job != state.jobs.end(), "the job must exist");
  return job->second.request.steps.at(static_cast<std::size_t>(name.step));
}

auto AssignTask(ShardState& state,
                const TaskName& name,
                const WorkerId& worker,
                RunPhase phase,
                TimePoint now) -> void {
  TaskState* task = FindTask(state, name);
  FIREFLYTHREAD_ASSERT(task != nullptr, "an assigned task must exist");
  ShardWorker& target = state.workers[worker];
  target.view.id = worker;
  const bool inserted = target.tasks.insert(name).second;
  FIREFLYTHREAD_ASSERT(inserted, "a task has one run at a time");
  AllocateCapacity(target, StepOf(state, name));
  ShardJob& job = state.jobs.at(name.job);
  AddHeld(state.quota, job.request.organisation, StepOf(state, name).size);
  task->worker = worker;
  SetPhase(job, name, phase);
  task->since = now;
  task->stop_confirmed = false;
  task->stop_in_flight = false;
  task->inherited = false;
  task->speed_percent = 100;
  task->speed_known = true;
  task->pace_in_flight = false;
  task->next_pace = {};
  task->pace_unsettled_until = {};
  task->percent = 0;
  // What the former run reported says nothing about this worker.
  task->usage = 0;
  ++job.assigned;
}

auto ReleaseTask(ShardState& state, const TaskName& name, TimePoint now)
    -> void {
  TaskState* task = FindTask(state, name);
  FIREFLYTHREAD_ASSERT(task != nullptr, "a released task must exist");
  const auto worker = state.workers.find(task->worker);
  FIREFLYTHREAD_ASSERT(worker != state.workers.end(),
                       "a released task must have a worker");
  const std::size_t erased = worker->second.tasks.erase(name);
  FIREFLYTHREAD_ASSERT(erased == 1, "the worker must have the task");
  FreeUpCapacity(worker->second, StepOf(state, name));
  state.stopping.erase(name);
  ShardJob& job = state.jobs.at(name.job);
  RemoveHeld(state.quota, job.request.organisation, StepOf(state, name).size);
  task->worker = WorkerId();
  SetPhase(job, name, task->done ? RunPhase::kDone : RunPhase::kWaiting);
  task->since = now;
  --job.assigned;
}

auto BeginStop(ShardState& state, const TaskName& name, TimePoint now) -> void {
  TaskState* task = FindTask(state, name);
  FIREFLYTHREAD_ASSERT(task != nullptr, "a stopped task must exist");
  if (task->phase == RunPhase::kStopping) {
    return;
  }
  SetPhase(state.jobs.at(name.job), name, RunPhase::kStopping);
  task->since = now;
  task->not_before = now;
  task->stop_confirmed = false;
  task->stop_in_flight = false;
  state.stopping.insert(name);
}

auto ForgetIfFinished(ShardState& state, const JobId& id) -> void {
  const auto job = state.jobs.find(id);
  if (job == state.jobs.end() || !IsFinal(job->second.progress.state) ||
      job->second.assigned > 0 || job->second.storing ||
      state.dirty.contains(id)) {
    return;
  }
  const ShardJob& ended = job->second;
  state.finished[id] = {ended.progress.state, ended.version,
                        ended.cancel_version, ended.request.organisation};
  state.unmoved.insert(id);
  state.jobs.erase(job);
}

}  // namespace fireflythread
