#include "test/fireflythread/entry/queue_entry.h"

#include <catch2/catch.hpp>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/jobs/job_location.h"
#include "fireflythread/jobs/job_tables.h"

namespace fireflythread::test {
namespace {

auto QueueTo(const std::string& service, const std::string& name) -> Queue {
  Queue queue;
  queue.name = QueueName(name);
  queue.host = "quotes";
  queue.service = ServiceName(service);
  return queue;
}

auto Deadline() -> TimePoint {
  return ReadBootClock() + std::chrono::seconds(5);
}

/// Runs the main loop until a request is answered.
template <typename Answer>
auto WaitFor(const std::optional<Answer>& answer) -> Answer {
  REQUIRE(FakeTableStore::RunUntil([&] { return answer.has_value(); }));
  return *answer;
}

}  // namespace

auto JobServices() -> std::vector<std::string> {
  return {"desk", "planner", "fittings"};
}

QueueEntry::QueueEntry(TableStore& store,
                       const Logger& logger,
                       std::chrono::milliseconds write_delay)
    : assignments(
          store,
          logger,
          [](const ServiceName& service) -> std::vector<ShardName> {
            return {ShardName(service.value)};
          },
          write_delay),
      handler(store, logger),
      submitter(this->handler, this->assignments, this->parts),
      canceller(this->handler, this->submitter) {
  for (const std::string& service : JobServices()) {
    this->parts.counts[ServiceName(service)] = 1;
  }
}

auto QueueEntry::Configure(std::uint64_t version,
                           const std::string& service,
                           const std::string& name) -> void {
  this->queue = QueueTo(service, name);
  this->configuration = Configuration{version, {this->queue}, {}};
  this->assignments.SetConfiguration(this->configuration);
}

auto QueueEntry::KnowsAssignment() const -> bool {
  return this->assignments.AssignmentOf(IdOf(this->queue)) != nullptr;
}

auto QueueEntry::ShardsOf(const std::string& job) const
    -> std::optional<std::vector<ShardName>> {
  return ShardsWithJob(this->queue,
                       this->assignments.AssignmentOf(IdOf(this->queue)),
                       this->configuration, this->parts, JobId(job));
}

auto QueueEntry::Submit(const std::string& job) -> JobRequestOutcome {
  JobRequest request;
  request.id = JobId(job);
  request.queue = IdOf(this->queue);
  request.queue_name = this->queue.name;
  request.organisation = this->caller.value_or(OrganisationName());
  std::optional<JobRequestOutcome> outcome;
  this->submitter.Submit(
      request, Deadline(),
      [&outcome](JobRequestOutcome got, const ShardName&) { outcome = got; });
  return WaitFor(outcome);
}

auto QueueEntry::Cancel(const std::string& job) -> JobRequestOutcome {
  std::optional<JobRequestOutcome> outcome;
  this->canceller.Cancel(
      {JobId(job), IdOf(this->queue), this->caller},
      [this, job] { return this->ShardsOf(job); }, Deadline(),
      [&outcome](JobRequestOutcome got) { outcome = got; });
  return WaitFor(outcome);
}

auto QueueEntry::ReadState(const std::string& job) -> State {
  const auto shards = this->ShardsOf(job);
  REQUIRE(shards);
  std::optional<State> answer;
  this->handler.ReadState(*shards, JobId(job), this->caller, Deadline(),
                          [&answer](const State& got) { answer = got; });
  return WaitFor(answer);
}

QueueSite::QueueSite() {
  this->first.Configure(1, "desk");
  this->second.Configure(1, "desk");
  REQUIRE(FakeTableStore::RunUntil([&] {
    return this->first.KnowsAssignment() && this->second.KnowsAssignment();
  }));
}

auto QueueSite::RunUntilAssigned(const std::string& service) -> void {
  REQUIRE(FakeTableStore::RunUntil([&] {
    const QueueAssignment* assignment =
        this->first.assignments.AssignmentOf(IdOf(this->first.queue));
    return assignment != nullptr && assignment->service == ServiceName(service);
  }));
  FakeTableStore::RunCallbacks();
}

auto QueueSite::CountStored(const std::string& job) const -> int {
  int stored = 0;
  for (const std::string& service : JobServices()) {
    const ShardName shard(service);
    stored +=
        this->store.Has(JobTable(shard), service, JobKey(JobId(job))) ? 1 : 0;
  }
  return stored;
}

}  // namespace fireflythread::test
