#include "fireflythread/entry/admission_task.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/entry/backlog_tables.h"
#include "fireflythread/entry/job_submitter.h"
#include "fireflythread/entry/queue_assignments_task.h"
#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/job_tables.h"
#include "test/fireflythread/entry/fake_table_store.h"
#include "test/fireflythread/entry/memory_table_store.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What an entry does about submissions to the queue "quotes" of the pool
/// "desk", whose only shard has the same name.
struct AdmittingEntry {
  AdmittingEntry() {
    this->parts.counts[ServiceName("desk")] = 1;
    this->queue.name = QueueName("quotes");
    this->queue.host = "quotes";
    this->queue.service = ServiceName("desk");
    this->queue.terms.stretch = 1.5;
    this->queue.terms.latency_objective = milliseconds(600);
    this->configuration.version = 1;
    this->configuration.queues = {this->queue};
    this->configuration.requires_keys = true;
    Organisation organisation;
    organisation.name = OrganisationName("org");
    this->configuration.organisations = {organisation};
  }

  auto RunUntil(const std::function<bool()>& condition) -> bool {
    return FakeTableStore::RunUntil([&] {
      this->store.RunCallbacks();
      return condition();
    });
  }
  /// Applies the configuration and waits for the queue's assignment.
  auto Start() -> void {
    this->assignments.SetConfiguration(this->configuration);
    this->admission.SetConfiguration(this->configuration);
    REQUIRE(this->RunUntil([this] {
      return this->assignments.AssignmentOf(IdOf(this->queue)) != nullptr;
    }));
  }
  /// Publishes a wait of an owner of the shard.
  auto Publish(WorkTime wait, std::uint64_t fence = 7) -> void {
    BacklogRow row;
    row.fence = fence;
    row.backlog.pool[0].within_share.in_time.front() = wait;
    this->store.Put(std::string(kBacklogTable), std::string(kBacklogPart),
                    "desk", EncodeBacklog(row));
  }
  [[nodiscard]] auto Refuses(Duration later = Duration(0)) const -> bool {
    return this->admission
        .Decide(ShardName("desk"), this->Job("a"), ReadBootClock() + later)
        .has_value();
  }
  [[nodiscard]] auto Job(const std::string& id) const -> JobRequest {
    JobRequest job;
    job.id = JobId(id);
    job.queue = IdOf(this->queue);
    job.queue_name = this->queue.name;
    job.organisation = OrganisationName("org");
    job.terms = this->queue.terms;
    JobStep step;
    step.count = 1;
    step.size = {1000, 100, 0};
    step.estimate = milliseconds(100);
    job.steps = {step};
    return job;
  }

  /// The answer to a submission: an outcome or a refusal.
  struct Answer {
    std::optional<JobRequestOutcome> outcome;
    std::optional<AdmissionRefusal> refusal;
  };
  auto Submit(const JobRequest& job) -> Answer {
    Answer answer;
    this->submitter.Submit(
        job, ReadBootClock() + seconds(5),
        [&answer](JobRequestOutcome got, const ShardName&) {
          answer.outcome = got;
        },
        [&answer](const AdmissionRefusal& refusal) {
          answer.refusal = refusal;
        });
    REQUIRE(
        this->RunUntil([&answer] { return answer.outcome || answer.refusal; }));
    return answer;
  }
  [[nodiscard]] auto IsStored(const std::string& job) const -> bool {
    return this->store
        .Find(JobTable(ShardName("desk")), "desk", JobKey(JobId(job)))
        .has_value();
  }

  MemoryTableStore store;
  Logger logger{{},
                LogLevel::kError,
                [](std::string_view) {},
                [] { return WallTime(); }};
  MetricsRegistry metrics;
  Queue queue;
  Configuration configuration;
  PoolParts parts;
  QueueAssignmentsTask assignments{
      this->store, this->logger,
      [](const ServiceName& service) {
        return std::vector<ShardName>{ShardName(service.value)};
      },
      milliseconds(0)};
  JobRequestHandler handler{this->store, this->logger};
  AdmissionTask admission{this->store, this->logger, this->metrics};
  JobSubmitter submitter{this->handler, this->assignments, this->parts,
                         &this->admission};
};

TEST_CASE("An entry follows the backlogs of shards", "[entry]") {
  AdmittingEntry entry;
  entry.Start();
  CHECK_FALSE(entry.Refuses());
  entry.Publish(seconds(30));
  REQUIRE(entry.RunUntil([&] { return entry.Refuses(); }));
  // Guards against refusals after the owner is lost.
  CHECK_FALSE(entry.Refuses(milliseconds(2001)));
  // Guards against refusals after the overload.
  entry.Publish(seconds(0));
  CHECK(entry.RunUntil([&] { return !entry.Refuses(); }));
  entry.Publish(seconds(30), 9);
  REQUIRE(entry.RunUntil([&] { return entry.Refuses(); }));
  // Guards against the estimate of an owner that was replaced.
  entry.Publish(seconds(0), 8);
  entry.Publish(seconds(30), 9);
  CHECK(entry.RunUntil([&] { return entry.Refuses(milliseconds(1500)); }));
}

TEST_CASE("A backlog of unknown age refuses nothing", "[entry]") {
  // Guards against refusals for a row that was stored long before the entry
  // began to follow the table.
  AdmittingEntry entry;
  entry.Publish(seconds(30));
  entry.Start();
  CHECK_FALSE(entry.Refuses());
}

TEST_CASE("Without organisations no backlog is followed", "[entry]") {
  AdmittingEntry entry;
  SECTION("at first") {
    entry.configuration.organisations.clear();
    entry.Start();
  }
  SECTION("without keys") {
    entry.configuration.requires_keys = false;
    entry.Start();
  }
  SECTION("any more") {
    entry.Start();
    entry.Publish(seconds(30));
    REQUIRE(entry.RunUntil([&] { return entry.Refuses(); }));
    entry.configuration.organisations.clear();
    entry.admission.SetConfiguration(entry.configuration);
  }
  entry.Publish(seconds(30));
  entry.store.RunCallbacks();
  CHECK_FALSE(entry.Refuses());
  CHECK(entry.Submit(entry.Job("a")).outcome == JobRequestOutcome::kStored);
}

TEST_CASE("A refused job is not stored", "[entry]") {
  AdmittingEntry entry;
  entry.Start();
  CHECK(entry.Submit(entry.Job("a")).outcome == JobRequestOutcome::kStored);
  entry.Publish(seconds(30));
  REQUIRE(entry.RunUntil([&] { return entry.Refuses(); }));
  const auto answer = entry.Submit(entry.Job("b"));
  REQUIRE(answer.refusal);
  CHECK(answer.refusal->cause == RefusalCause::kPool);
  CHECK(answer.refusal->retry_after >= seconds(30));
  CHECK_FALSE(entry.IsStored("b"));
  CHECK(entry.metrics.Render().find("fireflythread_refused_submissions_total"
                                    "{cause=\"pool\"} 1") != std::string::npos);
  SECTION("but a long-running one is") {
    JobRequest job = entry.Job("c");
    job.steps[0].long_running = true;
    CHECK(entry.Submit(job).outcome == JobRequestOutcome::kStored);
  }
}

TEST_CASE("A stored job that is submitted again is never refused", "[entry]") {
  // Guards against a refusal of a job that runs or has run: its caller would
  // take it for not accepted.
  AdmittingEntry entry;
  entry.Start();
  REQUIRE(entry.Submit(entry.Job("a")).outcome == JobRequestOutcome::kStored);
  entry.Publish(seconds(30));
  REQUIRE(entry.RunUntil([&] { return entry.Refuses(); }));
  JobRequest job = entry.Job("a");
  SECTION("by its organisation") {
    CHECK(entry.Submit(job).outcome == JobRequestOutcome::kStored);
  }
  SECTION("not even by another organisation, which has a conflict") {
    job.organisation = OrganisationName("other");
    CHECK(entry.Submit(job).outcome == JobRequestOutcome::kForeign);
  }
}

TEST_CASE("A job is submitted if the search for it fails", "[entry]") {
  // Guards against a refusal of a job that may be stored.
  AdmittingEntry entry;
  entry.Start();
  entry.Publish(seconds(30));
  REQUIRE(entry.RunUntil([&] { return entry.Refuses(); }));
  entry.store.reads_fail = true;
  CHECK(entry.Submit(entry.Job("a")).outcome == JobRequestOutcome::kStored);
  CHECK(entry.IsStored("a"));
}

}  // namespace
}  // namespace fireflythread::test
