#ifndef TEST_FIREFLYTHREAD_JOBS_PEAK_SIMULATION_H_
#define TEST_FIREFLYTHREAD_JOBS_PEAK_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fireflythread/base/random.h"
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

 private:
  struct SimulatedJob {
    int tasks = 0;
    int left = 0;
    std::chrono::milliseconds run_time{0};
    TimePoint objective;
    bool in_time = false;
    OrganisationName organisation;
  };
  struct ActiveRun {
    StartCommand start;
    TimePoint ends_at;
  };

  auto AddArrivals() -> void;
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
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_JOBS_PEAK_SIMULATION_H_
