#include "fireflythread/jobs/admission_decision.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "fireflythread/jobs/backlog_codec.h"
#include "fireflythread/jobs/job_request.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kFresh{500};

/// A job of 1,000 ms with an objective of 2,100 ms, so of use for 6,300 ms.
auto Job(const std::string& id = "a", int priority = 1) -> JobRequest {
  JobRequest job;
  job.id = JobId(id);
  job.organisation = OrganisationName("org");
  JobStep step;
  step.count = 1;
  step.size = {1000, 100, 0};
  step.estimate = milliseconds(1000);
  job.steps = {step};
  QueueTerms terms;
  terms.priority = priority;
  terms.stretch = 1.5;
  terms.latency_objective = milliseconds(600);
  job.terms = terms;
  return job;
}

/// Late work of organisations within their share.
auto LateWork(WorkTime work, int priority = 1) -> Backlog {
  Backlog backlog;
  backlog.pool[priority].within_share.late = work;
  // Without this the job would start in time.
  backlog.pool[priority].within_share.in_time.front() = WorkTime(2000);
  return backlog;
}

auto Decide(const Backlog& backlog,
            const JobRequest& job = Job(),
            Duration age = kFresh) -> std::optional<AdmissionRefusal> {
  const auto candidate = MakeAdmissionCandidate(job);
  return candidate ? DecideAdmission(backlog, age, *candidate) : std::nullopt;
}

TEST_CASE("A job is refused only if it would be of no use", "[jobs]") {
  // Guards against refusals of jobs that would be late, but of use.
  CHECK_FALSE(Decide(Backlog()));
  CHECK_FALSE(Decide(LateWork(milliseconds(3300))));
  const auto refusal = Decide(LateWork(milliseconds(3301)));
  REQUIRE(refusal);
  CHECK(refusal->cause == RefusalCause::kPool);
  CHECK(refusal->wait == milliseconds(5301));
  CHECK(refusal->retry_after >= seconds(6));
}

TEST_CASE("A job that would start in time is not refused for late work",
          "[jobs]") {
  // Late work lets jobs in time go first. Guards against refusals for work that
  // is not ahead.
  Backlog backlog = LateWork(seconds(60));
  backlog.pool[1].within_share.in_time.front() = milliseconds(1000);
  CHECK_FALSE(Decide(backlog));
  SECTION("nor for work in time with a later deadline") {
    backlog.pool[1].within_share.in_time.back() = seconds(60);
    CHECK_FALSE(Decide(backlog));
  }
  SECTION("but for work in time with an earlier deadline") {
    backlog.pool[1].within_share.in_time.front() = seconds(5);
    CHECK(Decide(backlog));
  }
}

TEST_CASE("A stale estimate refuses nothing", "[jobs]") {
  // Guards against refusals after a load peak whose end an entry did not learn,
  // as the shard's owner or the store is lost.
  const Backlog backlog = LateWork(seconds(60));
  CHECK(Decide(backlog, Job(), milliseconds(2000)));
  CHECK_FALSE(Decide(backlog, Job(), milliseconds(2001)));
}

TEST_CASE("Work of a lower priority refuses nothing", "[jobs]") {
  const Backlog backlog = LateWork(seconds(60), 1);
  CHECK_FALSE(Decide(backlog, Job("a", 0)));
  CHECK(Decide(backlog, Job("a", 1)));
  CHECK(Decide(backlog, Job("a", 2)));
}

TEST_CASE("Some jobs are never refused", "[jobs]") {
  // Guards against refusals of jobs whose use doesn't end, or which start some
  // other time.
  const Backlog backlog = LateWork(seconds(60));
  JobRequest job = Job();
  REQUIRE(Decide(backlog, job));
  SECTION("with a long-running step") {
    job.steps[0].long_running = true;
  }
  SECTION("with a long-running step beside finite ones") {
    job.steps.push_back(job.steps[0]);
    job.steps[1].long_running = true;
  }
  SECTION("with a filler") {
    job.steps[0].filler = true;
  }
  SECTION("with a schedule") {
    job.repeat_count = 2;
  }
  SECTION("with a start time") {
    job.first_due = WallTime(seconds(1));
  }
  SECTION("without terms") {
    job.terms.reset();
  }
  SECTION("with an objective that can't be met") {
    job.terms->stretch = 0.1;
    job.terms->latency_objective = milliseconds(0);
  }
  CHECK_FALSE(Decide(backlog, job));
}

TEST_CASE("What an organisation lacks itself is told apart", "[jobs]") {
  // The cause decides between 429 and 503.
  Backlog backlog;
  PriorityBacklog& work = backlog.pool[1];
  work.over_share.in_time.front() = seconds(60);
  const JobRequest job = Job();
  SECTION("its share, while jobs of others are admitted") {
    CHECK_FALSE(Decide(backlog, job));
    backlog.over_share[job.organisation] = seconds(60);
    REQUIRE(Decide(backlog, job));
    CHECK(Decide(backlog, job)->cause == RefusalCause::kShare);
  }
  SECTION("not its share while it has little waiting work itself") {
    backlog.over_share[job.organisation] = seconds(5);
    CHECK_FALSE(Decide(backlog, job));
  }
  SECTION("workers, when jobs of others are refused too") {
    work.within_share.in_time.front() = seconds(60);
    backlog.over_share[job.organisation] = seconds(60);
    REQUIRE(Decide(backlog, job));
    CHECK(Decide(backlog, job)->cause == RefusalCause::kPool);
  }
  SECTION("its cap") {
    backlog.capped[job.organisation][1].within_share.in_time.front() =
        seconds(60);
    CHECK(Decide(backlog, job)->cause == RefusalCause::kCap);
    JobRequest other = job;
    other.organisation = OrganisationName("other");
    CHECK_FALSE(Decide(backlog, other));
  }
}

TEST_CASE("A herd of refused clients returns spread, after the wait",
          "[jobs]") {
  // Guards against a peak of clients that were all told the same time, and
  // against clients that are told to return before there is room.
  constexpr int kClients = 1000;
  const WorkTime late =
      GENERATE(WorkTime(4000), WorkTime(8000), WorkTime(20000));
  const Backlog backlog = LateWork(late);
  std::map<seconds, int> returning;
  for (int client = 0; client < kClients; ++client) {
    const auto refusal = Decide(backlog, Job("job" + std::to_string(client)));
    REQUIRE(refusal);
    CHECK(refusal->retry_after >= refusal->wait);
    ++returning[refusal->retry_after];
  }
  for (const auto& [after, clients] : returning) {
    CAPTURE(after.count());
    CHECK(clients <= kClients / 2);
  }
  CHECK(returning.rbegin()->first <= 2 * returning.begin()->first);
}

TEST_CASE("An absurd estimate gives a Retry-After of a minute at most",
          "[jobs]") {
  const auto refusal = Decide(LateWork(WorkTime(1e300)));
  REQUIRE(refusal);
  CHECK(refusal->retry_after <= seconds(60));
}

TEST_CASE("A published backlog is read as it was written", "[jobs]") {
  BacklogRow row;
  row.fence = 12;
  row.backlog = LateWork(milliseconds(4000), 3);
  row.backlog.pool[3].over_share.in_time.back() = milliseconds(7);
  row.backlog.over_share[OrganisationName("org")] = milliseconds(11);
  row.backlog.capped[OrganisationName("full")][0].within_share.late =
      milliseconds(9);
  const auto read = DecodeBacklog(EncodeBacklog(row));
  REQUIRE(read);
  CHECK(read->fence == 12);
  CHECK(EncodeBacklog(*read) == EncodeBacklog(row));
  CHECK(read->backlog.pool.at(3).over_share.in_time.back() == WorkTime(7));
  CHECK(read->backlog.over_share == row.backlog.over_share);
  CHECK(read->backlog.capped.size() == 1);
  CHECK(LongestWait(read->backlog) == WorkTime(6007));
  for (const char* text :
       {"", "{}", "[]", "1", R"({"fence":1,"pool":[[1]]})"}) {
    CHECK_FALSE(DecodeBacklog(text));
  }
}

}  // namespace
}  // namespace fireflythread::test
