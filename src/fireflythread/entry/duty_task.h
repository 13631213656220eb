#ifndef FIREFLYTHREAD_ENTRY_DUTY_TASK_H_
#define FIREFLYTHREAD_ENTRY_DUTY_TASK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/duties/duties.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/drain_table.h"
#include "fireflythread/entry/duty_monitor.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/entry/order_records.h"
#include "fireflythread/entry/quota_allocator_task.h"
#include "fireflythread/entry/range_loader.h"
#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/pool_parts.h"
#include "fireflythread/platform/machine_client.h"
#include "fireflythread/platform/platform_records.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Name of the shard whose owner moves and maintains VMs. No service has this
/// name.
inline constexpr std::string_view kDutyShard = "@duties";

/// Table of the pools' loads. The key is a shard, whose owner publishes the
/// row.
inline constexpr std::string_view kLoadTable = "load";

/// Part of the store with the rows of kLoadTable. They change often, and a part
/// carries out its transactions one after another, so they have one of their
/// own.
inline constexpr std::string_view kLoadPart = "load";

/// Table of the waves' progress, in the part of the duty shard. The key is a
/// wave's number; the value lists the VMs that are done.
inline constexpr std::string_view kWaveTable = "wave_done";

/// Moves VMs between pools and carries out maintenance waves, for as long as
/// this entry owns the duty shard.
class DutyTask {
 public:
  struct Environment {
    TableStore& store;
    MachineClient& machines;
    PlatformRecords& records;
    DrainTable& drain_table;
    const Logger& logger;
    /// Called with the shard when a newer owner exists. Must not destroy the
    /// task before it returns.
    std::function<void(const ShardName&)> on_fenced;
  };

  /// `fence` is the fencing token of the duty shard.
  DutyTask(Environment environment, std::uint64_t fence);
  DutyTask(const DutyTask&) = delete;
  auto operator=(const DutyTask&) -> DutyTask& = delete;

  /// Starts to load the stored waves, orders and loads.
  auto Start() -> void;
  /// Sets the pools from the configuration's services.
  auto SetConfiguration(const Configuration& configuration) -> void;
  /// Sets the number of parts of each pool.
  auto SetPoolParts(const PoolParts& parts) -> void;
  /// Sets the declared waves.
  auto SetWaves(const std::map<std::int64_t, WaveRequest>& waves) -> void;
  /// Applies the changed rows of the drain table.
  auto ApplyDrainTable() -> void;

  /// Returns the fencing token.
  [[nodiscard]] auto Fence() const -> std::uint64_t { return this->fence; }

 private:
  auto ReadLoads() -> void;
  auto FollowLoads() -> void;
  auto ApplyLoad(const Row& row) -> void;
  auto ReadMachines() -> void;
  /// Returns whether everything is loaded that a plan depends on.
  auto IsReady() const -> bool;
  auto Tick() -> void;
  /// Plans moves and upkeeps, and sends the orders that are due.
  auto Step() -> void;
  auto RecordOrders() -> void;
  auto ApplyRecordOutcome(const std::vector<Duty>& orders,
                          const TransactionOutcome& outcome,
                          TimePoint sent_at) -> void;
  auto SendOrder(const Duty& duty) -> void;
  auto StoreWaves() -> void;
  auto ApplyWavesOutcome(const std::vector<std::int64_t>& numbers,
                         const TransactionOutcome& outcome) -> void;

  Environment environment;
  std::uint64_t fence;
  DutyState state;
  DutyMonitor monitor;
  std::map<std::int64_t, WaveRequest> declared;
  std::map<std::int64_t, std::set<VmId>> stored_done;
  /// Versions of the waves' rows. A write requires the version, since the store
  /// may carry out one without an answer after newer ones.
  std::map<std::int64_t, std::uint64_t> wave_versions;
  OrderRecords order_records;
  QuotaAllocatorTask quota;
  RangeLoader wave_loader;
  RangeLoader order_loader;
  bool waves_loaded = false;
  bool orders_loaded = false;
  bool recording = false;
  bool reading_machines = false;
  bool storing_waves = false;
  /// Pools with a shard whose load has changed since the last step.
  std::set<ServiceName> changed_pools;
  std::uint64_t load_revision = 0;
  bool loads_read = false;
  TimePoint listed_at;
  TimePoint stepped_at;
  OneShotTimer load_retry;
  PeriodicTimer tick;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_DUTY_TASK_H_
