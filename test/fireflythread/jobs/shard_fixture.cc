#include "test/fireflythread/jobs/shard_fixture.h"

#include <utility>

namespace fireflythread::test {
namespace {

constexpr std::size_t kJobsPerBatch = 45;

}  // namespace

ShardFixture::ShardFixture(int worker_count) {
  this->state.shard = ShardName("desk");
  this->state.fence = 7;
  this->state.owned_since = this->now;
  Queue queue;
  queue.name = QueueName("orders");
  queue.host = "orders";
  queue.service = ServiceName(this->state.shard.value);
  queue.terms.max_attempts = 2;
  queue.terms.stretch = 1.5;
  queue.terms.latency_objective = milliseconds(600);
  this->state.queues.emplace(IdOf(queue), queue);
  for (int number = 0; number < worker_count; ++number) {
    WorkerView view;
    view.id = WorkerId("w" + std::to_string(number));
    view.service = ServiceName(this->state.shard.value);
    view.address = "10.0.0." + std::to_string(number) + ":80";
    view.rack = "r" + std::to_string(number);
    view.labels = {"a", view.rack};
    view.capacity = {8000, 16000, 0};
    view.started_at = milliseconds(1);
    this->views.push_back(view);
  }
  ApplyWorkers(this->state, this->views, this->now);
  for (const WorkerView& view : this->views) {
    this->Report(view.id.value);
  }
}

auto ShardFixture::AddJob(const std::string& id,
                          const JobStep& step,
                          const OrganisationName& organisation) -> void {
  JobRequest request;
  request.id = JobId(id);
  request.organisation = organisation;
  request.queue = QueueId("orders");
  request.steps = {step};
  request.accepted_at = this->wall_now;
  request.terms = this->state.queues.at(request.queue).terms;
  fireflythread::AddJob(this->state, std::move(request), std::nullopt, 0,
                        this->now);
}

auto ShardFixture::Step(int count, int millicores) -> JobStep {
  JobStep step;
  step.count = count;
  step.size = {millicores, 100, 0};
  step.estimate = milliseconds(1000);
  return step;
}

auto ShardFixture::Report(const std::string& worker,
                          std::vector<RunningRun> running,
                          std::vector<RunCompletion> ended,
                          bool complete) -> void {
  const TimePoint sent_at = this->now;
  this->now += milliseconds(1);
  this->ReportSince(sent_at, worker, std::move(running), std::move(ended),
                    complete);
}

auto ShardFixture::ReportSince(TimePoint sent_at,
                               const std::string& worker,
                               std::vector<RunningRun> running,
                               std::vector<RunCompletion> ended,
                               bool complete) -> void {
  WorkerReport report;
  report.clock = this->ClockOf(worker);
  report.started_at = this->ViewOf(worker).started_at;
  report.running = std::move(running);
  report.ended = std::move(ended);
  report.complete = complete;
  ApplyReport(this->state, WorkerId(worker), report, sent_at, this->now);
}

auto ShardFixture::Restart(const std::string& worker) -> void {
  ++this->ViewOf(worker).started_at;
  this->clock_origins[worker] = this->now;
}

auto ShardFixture::ClockOf(const std::string& worker) const -> milliseconds {
  const auto origin = this->clock_origins.find(worker);
  const TimePoint zero =
      origin == this->clock_origins.end() ? TimePoint() : origin->second;
  return std::chrono::duration_cast<milliseconds>(this->now - zero);
}

auto ShardFixture::ViewOf(const std::string& worker) -> WorkerView& {
  return this->views[static_cast<std::size_t>(std::stoi(worker.substr(1)))];
}

auto ShardFixture::PlanAndStore() -> std::vector<StartCommand> {
  PlanRuns(this->state, this->wall_now, this->now);
  const RecordBatch batch = TakeBatch(this->state, kJobsPerBatch);
  return ApplyStored(this->state, batch, ++this->version, this->now);
}

auto ShardFixture::Accept(const StartCommand& start) -> void {
  ApplyStartReply(this->state, start, {OrderVerdict::kDone}, this->now);
}

auto ShardFixture::StartAll() -> std::vector<StartCommand> {
  std::vector<StartCommand> starts = this->PlanAndStore();
  for (const StartCommand& start : starts) {
    this->Accept(start);
  }
  this->now += milliseconds(1);
  return starts;
}

auto ShardFixture::Running(const StartCommand& start) -> RunningRun {
  return {start.task, start.run, "", 100, 0};
}

auto ShardFixture::Ended(const StartCommand& start,
                         std::uint64_t number,
                         RunResult end) -> RunCompletion {
  return {number, start.task, start.run, end, ""};
}

auto ShardFixture::Task(const std::string& job, int index) -> TaskState& {
  return *FindTask(this->state, TaskName{JobId(job), 0, 0, index});
}

auto ShardFixture::Worker(const std::string& id) -> ShardWorker& {
  return this->state.workers.at(WorkerId(id));
}

}  // namespace fireflythread::test
