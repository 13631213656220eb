#ifndef TEST_FIREFLYTHREAD_JOBS_PEAK_SIMULATION_H_
#define TEST_FIREFLYTHREAD_JOBS_PEAK_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fireflythread/base/random.h"
#include "fireflythread/jobs/admission_decision.h"
#include "fireflythread/jobs/backlog.h"
#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {

/// Simulates, on virtual time, a shard at which jobs arrive for some seconds
/// faster than its workers can run them. Estimates are off by a random factor;
/// workers report each completion at once.
class PeakSimulation {
 public:
  /// An organisation with the weights of its claim and of what it sends.
  struct OrganisationLoad {
    std::string name;
    double weight = 1.0;
    double demand = 1.0;
    /// Time after the beginning of the peak before which it sends nothing.
    std::chrono::milliseconds from{0};
    /// Tasks of each of its jobs; 0 for the usual mix.
    int tasks = 0;
  };
  struct Load {
    int workers = 9;
    /// Arriving work, as a multiple of the workers' capacity.
    double overload = 2.0;
    std::chrono::milliseconds length{4500};
    /// Estimates are the run time times e to the power of a random number from
    /// -x to x.
    double estimate_error = 0.5;
    /// Organisations that send the jobs; none where it is empty.
    std::vector<OrganisationLoad> organisations;
    /// Jobs that could not be of use any more are refused at arrival.
    bool admission = false;
    /// Refused jobs are submitted again after the time that they were told.
    bool retries = false;
    std::uint64_t seed = 1;
  };

  explicit PeakSimulation(const Load& load);

  /// Runs the peak and continues until every job has ended.
  auto Run() -> void;

  /// Returns the work of the jobs that met their objective, as a share of the
  /// workers' capacity from the start of the peak until the last job's
  /// objective.
  [[nodiscard]] auto GoodputShare() const -> double;

  /// Returns the share of jobs that met their objective, among the jobs with at
  /// least this many tasks.
  [[nodiscard]] auto InTimeShare(int min_tasks) const -> double;
  /// Returns the same for the jobs of one organisation.
  [[nodiscard]] auto InTimeShare(const std::string& organisation) const
      -> double;

  /// Returns how many submissions of an organisation were made and refused.
  [[nodiscard]] auto Submissions(const std::string& organisation) const -> int;
  [[nodiscard]] auto Refusals(const std::string& organisation) const -> int;
  /// Returns the refusals by cause.
  [[nodiscard]] auto Refusals(RefusalCause cause) const -> int;
  [[nodiscard]] auto Refusals() const -> int;
  /// Returns the submissions that were made after the peak, and how many of
  /// them were refused.
  [[nodiscard]] auto LateSubmissions() const -> int {
    return this->late_submissions;
  }
  [[nodiscard]] auto LateRefusals() const -> int { return this->late_refusals; }
  /// Returns the most submissions after the peak in one second.
  [[nodiscard]] auto MostLateSubmissions() const -> int;
  /// Returns the share of stored jobs that ended while they were of use.
  [[nodiscard]] auto UsefulShare() const -> double;

 private:
  struct SimulatedJob {
    int tasks = 0;
    int left = 0;
    std::chrono::milliseconds run_time{0};
    TimePoint objective;
    /// Time after which the result is of no use.
    TimePoint last_use;
    bool in_time = false;
    bool useful = false;
    OrganisationName organisation;
    JobStep step;
  };
  struct ActiveRun {
    StartCommand start;
    TimePoint ends_at;
  };

  auto AddArrivals() -> void;
  /// Submits a job that arrives or returns.
  auto Submit(const std::string& id, const SimulatedJob& job) -> void;
  auto AddReturns() -> void;
  /// Publishes the backlog as an owner does.
  auto MeasureWait() -> void;
  /// Draws the organisation of the next job by demand; null for none.
  auto DrawOrganisation() -> const OrganisationLoad*;
  auto FinishRuns() -> void;

  Load load;
  Random random;
  ShardFixture shard;
  std::map<JobId, SimulatedJob> jobs;
  std::vector<ActiveRun> runs;
  std::map<WorkerId, std::uint64_t> completion_counts;
  TimePoint began_at;
  TimePoint last_objective;
  /// Work that is due to arrive but has not arrived yet, in core-seconds.
  double pending_work = 0;
  int arrivals = 0;
  Backlog backlog;
  CapWaits cap_waits;
  TimePoint backlog_at;
  std::multimap<TimePoint, std::pair<std::string, SimulatedJob>> returns;
  std::map<OrganisationName, int> submitted;
  std::map<OrganisationName, int> refused;
  std::map<RefusalCause, int> refused_by_cause;
  int late_submissions = 0;
  int late_refusals = 0;
  std::map<std::int64_t, int> late_by_second;
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_JOBS_PEAK_SIMULATION_H_
