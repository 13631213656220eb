#ifndef TEST_FIREFLYTHREAD_DUTIES_POOL_SIMULATION_H_
#define TEST_FIREFLYTHREAD_DUTIES_POOL_SIMULATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fireflythread/duties/duty_state.h"
#include "fireflythread/jobs/job_request.h"
#include "fireflythread/jobs/pool_part.h"
#include "fireflythread/jobs/shard_state.h"
#include "test/fireflythread/duties/simulated_vm.h"

namespace fireflythread::test {

/// Simulates, on virtual time, pools in parts with a spare pool: the owner of
/// each part plans and gives orders, and the owner of the duties moves VMs.
/// Stores, workers and links answer at once, so what is late is late by
/// decision.
class PoolSimulation {
 public:
  struct Pool {
    ServiceName name;
    int parts = 1;
    int vms = 0;
  };

  PoolSimulation(const std::vector<Pool>& pools, int spare_vms);

  /// Returns the id of a job that belongs to a part of a pool. Each call
  /// returns another one.
  auto NewJobId(const ServiceName& pool, int part) -> JobId;
  /// Adds a job of one step to the part that its id belongs to. A task works
  /// for the step's estimate; a long-running one works until the end.
  auto AddJob(const ServiceName& pool, const JobId& id, const JobStep& step)
      -> void;
  auto Advance(std::chrono::milliseconds time) -> void;

  [[nodiscard]] auto IsDone(const ServiceName& pool, const JobId& id) const
      -> bool;
  /// Returns the open jobs that could run and have had nothing running for
  /// `time`, while the pool's workers had capacity for a task twice over and
  /// less than half of their cores in use.
  [[nodiscard]] auto JobsWithoutCause(std::chrono::milliseconds time) const
      -> std::vector<JobId>;
  /// Returns why a job of JobsWithoutCause() waits: its need and the VMs of its
  /// part and of its pool.
  [[nodiscard]] auto Describe(const JobId& id) const -> std::string;
  /// Returns the number of VMs of a pool, without those that are on their way.
  [[nodiscard]] auto CountVms(const ServiceName& pool) const -> int;
  /// Returns how many VMs of a part run no long-running task.
  [[nodiscard]] auto CountWholeVms(const ServiceName& pool, int part) const
      -> int;
  [[nodiscard]] auto Moves() const -> int { return this->moves; }

  static constexpr std::int64_t kVmMillicores = 32000;
  static constexpr std::int64_t kVmMemoryMb = 65536;

 private:
  struct Shard {
    PoolPart part;
    ShardState state;
    std::uint64_t version = 0;
    TimePoint load_at;
  };
  /// A job that could run and doesn't, and since when.
  using Idle = std::map<JobId, TimePoint>;

  auto AddShard(const Pool& pool, int index) -> void;
  auto FinishMoves() -> void;
  auto ReportWorkers(Shard& shard) -> void;
  auto StepShard(Shard& shard) -> void;
  auto StopRuns(Shard& shard) -> void;
  auto StepDuties() -> void;
  auto SendMoves() -> void;
  auto PublishWorkers() -> void;
  auto FindIdleJobs() -> void;
  [[nodiscard]] auto HasCapacityTwice(const ServiceName& pool,
                                      const TaskSize& need) const -> bool;
  [[nodiscard]] auto ListVms() const -> std::vector<MachineView>;
  [[nodiscard]] auto FindShard(const ServiceName& pool, const JobId& id) const
      -> const Shard&;

  std::map<ShardName, Shard> shards;
  std::map<VmId, SimulatedVm> vms;
  DutyState duties;
  std::map<JobId, std::chrono::milliseconds> work;
  Idle idle;
  TimePoint now{std::chrono::hours(1)};
  WallTime wall_now{std::chrono::hours(1000)};
  TimePoint listed_at;
  TimePoint planned_at;
  int last_worker = 0;
  int last_job = 0;
  int moves = 0;
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_DUTIES_POOL_SIMULATION_H_
