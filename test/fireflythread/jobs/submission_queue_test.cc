#include "fireflythread/jobs/submission_queue.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "fireflythread/jobs/cancel_tombstone.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/jobs/queue_assignments.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/transaction_outcome.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::hours(1)};
constexpr WallTime kWallNow{std::chrono::hours(5)};
constexpr const char* kEndedKey = "quotes/3";

auto MakeSubmission(const std::string& job) -> Submission {
  Submission submission;
  submission.shard = ShardName("desk");
  submission.ended_key = kEndedKey;
  submission.other_shards = {ShardName("office")};
  submission.job = JobId(job);
  submission.value = "{}";
  submission.deadline = kNow + milliseconds(3000);
  return submission;
}

auto MakeQueue(int count) -> SubmissionQueue {
  SubmissionQueue queue;
  for (int number = 0; number < count; ++number) {
    queue.waiting.push_back(MakeSubmission("job" + std::to_string(number)));
  }
  return queue;
}

auto PresentRow(const std::string& job) -> Row {
  Row row;
  row.key = JobKey(JobId(job));
  row.version = 5;
  return row;
}

TEST_CASE("Jobs that arrive during a slow transaction share the next one",
          "[jobs]") {
  // A peak of 40 jobs a second of one queue at one entry, while the store's
  // transactions take 400 ms and run one at a time.
  SubmissionQueue queue;
  int transactions = 0;
  int sent = 0;
  for (int arrived = 0; arrived < 160; ++arrived) {
    queue.waiting.push_back(MakeSubmission("job" + std::to_string(arrived)));
    if (arrived % 16 == 15) {
      queue.committing = false;
    }
    const auto batch = TakeSubmissions(queue);
    transactions += batch.empty() ? 0 : 1;
    sent += static_cast<int>(batch.size());
  }
  CHECK(transactions <= 11);
  CHECK(sent >= 144);
}

TEST_CASE("A transaction of submissions stays within the store's limits",
          "[jobs]") {
  SubmissionQueue queue = MakeQueue(200);
  std::size_t jobs = 0;
  while (!queue.waiting.empty()) {
    const auto batch = TakeSubmissions(queue);
    queue.committing = false;
    REQUIRE_FALSE(batch.empty());
    const Transaction transaction = MakeSubmissionTransaction(batch, kWallNow);
    CHECK(transaction.conditions.size() + transaction.writes.size() <= 100);
    jobs += batch.size();
  }
  CHECK(jobs == 200);

  SubmissionQueue large = MakeQueue(2);
  for (Submission& submission : large.waiting) {
    submission.value = std::string(300000, 'x');
  }
  CHECK(TakeSubmissions(large).size() == 1);
}

TEST_CASE(
    "Only one transaction of a shard's submissions is in flight at a time",
    "[jobs]") {
  SubmissionQueue queue = MakeQueue(1);
  CHECK(TakeSubmissions(queue).size() == 1);
  queue.waiting.push_back(MakeSubmission("later"));
  CHECK(TakeSubmissions(queue).empty());
}

TEST_CASE("A repeated job is not in the transaction of the first submission",
          "[jobs]") {
  // Guards against two writes of one row in a transaction.
  SubmissionQueue queue = MakeQueue(1);
  queue.waiting.push_back(MakeSubmission("job0"));
  CHECK(TakeSubmissions(queue).size() == 1);
  queue.committing = false;
  CHECK(TakeSubmissions(queue).size() == 1);
}

TEST_CASE("Only the repeated job of a transaction counts as stored", "[jobs]") {
  // Guards against a job that is reported as accepted because another job of
  // the same transaction was already stored.
  SubmissionQueue queue = MakeQueue(3);
  Conflict conflict;
  conflict.current = {PresentRow("job1")};
  // A conflict may also list rows that do not exist.
  Row absent = PresentRow("job2");
  absent.version = 0;
  conflict.current.push_back(absent);
  const ConflictSplit split = SplitConflict(TakeSubmissions(queue), conflict);
  REQUIRE(split.stored.size() == 1);
  CHECK(split.stored[0].job == JobId("job1"));
  REQUIRE(split.again.size() == 2);
  CHECK_FALSE(split.again[0].alone);
}

TEST_CASE("A submission depends on the absence of the ended job", "[jobs]") {
  // Guards against a repeated submission that runs a job again after the job
  // has ended and its row was moved.
  const Transaction transaction =
      MakeSubmissionTransaction({MakeSubmission("job0")}, kWallNow);
  int found = 0;
  for (const Condition& condition : transaction.conditions) {
    if (condition.table == kEndedTable) {
      CHECK(condition.key == "job0");
      CHECK(condition.version == 0);
      ++found;
    }
  }
  CHECK(found == 2);
}

TEST_CASE("A repeated submission of an ended job counts as stored", "[jobs]") {
  SubmissionQueue queue = MakeQueue(3);
  Conflict conflict;
  Row ended;
  ended.table = kEndedTable;
  ended.key = "job1";
  ended.version = 5;
  conflict.current = {ended};
  const ConflictSplit split = SplitConflict(TakeSubmissions(queue), conflict);
  REQUIRE(split.stored.size() == 1);
  CHECK(split.stored[0].job == JobId("job1"));
  CHECK(split.again.size() == 2);
}

TEST_CASE("A cancelled job delays no other job of its transaction", "[jobs]") {
  // Guards against a tombstone that has the whole batch retried one by one, or
  // that is taken for one of another shard.
  SubmissionQueue queue = MakeQueue(3);
  Conflict conflict;
  const CancelTombstone tombstone = WithCancellation({}, {}, kWallNow);
  conflict.current = {{std::string(kEndedTable), "job1", 7,
                       EncodeCancelTombstone(tombstone), "office"}};
  ConflictSplit split = SplitConflict(TakeSubmissions(queue), conflict);
  REQUIRE(split.again.size() == 3);
  CHECK_FALSE(split.again[0].alone);
  CHECK_FALSE(IsCancelled(split.again[0]));
  CHECK(IsCancelled(split.again[1]));
  const Transaction transaction =
      MakeSubmissionTransaction(split.again, kWallNow);
  for (const Condition& condition : transaction.conditions) {
    const bool is_tombstone = condition.table == kEndedTable &&
                              condition.key == "job1" &&
                              condition.part == "office";
    CHECK(condition.version == (is_tombstone ? 7 : 0));
  }
  REQUIRE(transaction.writes.size() == 3);
  CHECK(transaction.writes[0].table == JobTable(ShardName("desk")));
  CHECK(transaction.writes[1].table == kEndedTable);
  CHECK(transaction.writes[1].part == "desk");
  CHECK(transaction.writes[2].table == JobTable(ShardName("desk")));

  // The tombstone was removed meanwhile.
  Row gone{std::string(kEndedTable), "job1", 0, "", "office"};
  split = SplitConflict(std::move(split.again), Conflict{{gone}});
  REQUIRE(split.again.size() == 3);
  CHECK_FALSE(IsCancelled(split.again[1]));
}

TEST_CASE("After a conflict that names no job, submissions are sent one by one",
          "[jobs]") {
  SubmissionQueue queue = MakeQueue(3);
  ConflictSplit split = SplitConflict(TakeSubmissions(queue), Conflict{});
  CHECK(split.stored.empty());
  REQUIRE(split.again.size() == 3);
  queue.committing = false;
  PutBack(queue, std::move(split.again));
  const auto single = TakeSubmissions(queue);
  REQUIRE(single.size() == 1);
  CHECK(single[0].job == JobId("job0"));
  // The conflict may be about the queue's assignment, so the job does not count
  // as stored.
  split = SplitConflict(single, Conflict{});
  CHECK(split.stored.empty());
  CHECK(split.unclear.size() == 1);
  Conflict known;
  known.current = {PresentRow("job0")};
  CHECK(SplitConflict(single, known).stored.size() == 1);
}

TEST_CASE("A submission to a shard that its queue has left is not stored",
          "[jobs]") {
  // Guards against a job that is stored in a former shard, and against a job
  // of another queue that is reported as moved.
  SubmissionQueue queue = MakeQueue(3);
  queue.waiting[2].ended_key = "plans/7";
  const auto batch = TakeSubmissions(queue);
  const Transaction transaction = MakeSubmissionTransaction(batch, kWallNow);
  int assignments = 0;
  for (const Condition& condition : transaction.conditions) {
    if (condition.table == kQueueAssignmentTable) {
      CHECK(condition.part == "desk");
      CHECK(condition.version == 0);
      ++assignments;
    }
  }
  CHECK(assignments == 2);
  Conflict conflict;
  Row ending;
  ending.table = kQueueAssignmentTable;
  ending.key = kEndedKey;
  ending.part = "desk";
  ending.version = 5;
  conflict.current = {ending, PresentRow("job1")};
  const ConflictSplit split = SplitConflict(batch, conflict);
  REQUIRE(split.moved.size() == 1);
  CHECK(split.moved[0].job == JobId("job0"));
  REQUIRE(split.stored.size() == 1);
  CHECK(split.stored[0].job == JobId("job1"));
  REQUIRE(split.again.size() == 1);
  CHECK(split.again[0].job == JobId("job2"));
}

TEST_CASE("A submission near its deadline does not join a transaction",
          "[jobs]") {
  // Guards against a short deadline that makes the outcome of a whole
  // transaction uncertain.
  SubmissionQueue queue = MakeQueue(2);
  queue.waiting[0].deadline = kNow + milliseconds(100);
  const auto expired = TakeExpired(queue, kNow);
  REQUIRE(expired.size() == 1);
  CHECK(expired[0].job == JobId("job0"));
  CHECK(queue.waiting.size() == 1);
}

}  // namespace
}  // namespace fireflythread::test
