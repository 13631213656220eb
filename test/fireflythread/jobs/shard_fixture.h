#ifndef TEST_FIREFLYTHREAD_JOBS_SHARD_FIXTURE_H_
#define TEST_FIREFLYTHREAD_JOBS_SHARD_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fireflythread/jobs/shard_jobs.h"
#include "fireflythread/jobs/shard_orders.h"
#include "fireflythread/jobs/shard_plan.h"
#include "fireflythread/jobs/shard_record.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/shard_workers.h"

namespace fireflythread::test {

using std::chrono::milliseconds;

/// A shard on virtual time with one queue, "orders", and workers "w0", "w1" and
/// so on with 8 cores and 16 GB, each in its own rack.
class ShardFixture {
 public:
  explicit ShardFixture(int worker_count);

  auto Advance(milliseconds time) -> void { this->now += time; }

  /// Adds a job of one step.
  auto AddJob(const std::string& id,
              const JobStep& step,
              const OrganisationName& organisation = {}) -> void;
  [[nodiscard]] static auto Step(int count, int millicores) -> JobStep;

  /// Applies a report of a worker that lists only the given runs.
  auto Report(const std::string& worker,
              std::vector<RunningRun> running = {},
              std::vector<RunCompletion> ended = {},
              bool complete = true) -> void;
  /// Applies such a report to a poll that was sent at `sent_at`.
  auto ReportSince(TimePoint sent_at,
                   const std::string& worker,
                   std::vector<RunningRun> running = {},
                   std::vector<RunCompletion> ended = {},
                   bool complete = true) -> void;

  /// Begins a new incarnation of a worker, whose clock starts at 0. The shard
  /// learns of it from reports, replies or its registration.
  auto Restart(const std::string& worker) -> void;
  /// Returns the time on a worker's own clock.
  [[nodiscard]] auto ClockOf(const std::string& worker) const -> milliseconds;

  /// Plans, stores the records and returns the starts that may be sent.
  [[nodiscard]] auto PlanAndStore() -> std::vector<StartCommand>;
  /// Does the same, and every worker accepts its starts.
  auto StartAll() -> std::vector<StartCommand>;
  auto Accept(const StartCommand& start) -> void;

  [[nodiscard]] static auto Running(const StartCommand& start) -> RunningRun;
  [[nodiscard]] static auto Ended(const StartCommand& start,
                                  std::uint64_t number,
                                  RunResult end) -> RunCompletion;

  [[nodiscard]] auto Task(const std::string& job, int index) -> TaskState&;
  [[nodiscard]] auto Worker(const std::string& id) -> ShardWorker&;

  ShardState state;
  TimePoint now{std::chrono::hours(1)};
  WallTime wall_now{std::chrono::hours(1000)};
  std::uint64_t version = 100;
  std::vector<WorkerView> views;
  /// Time at which a worker's clock was 0; the epoch for those without entry.
  std::map<std::string, TimePoint> clock_origins;

 private:
  [[nodiscard]] auto ViewOf(const std::string& worker) -> WorkerView&;
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_JOBS_SHARD_FIXTURE_H_
