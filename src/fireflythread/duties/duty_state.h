#ifndef FIREFLYTHREAD_DUTIES_DUTY_STATE_H_
#define FIREFLYTHREAD_DUTIES_DUTY_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/duties/machine_view.h"
#include "fireflythread/duties/pool_load.h"
#include "fireflythread/duties/pool_need.h"
#include "fireflythread/jobs/wave_request.h"

namespace fireflythread {

/// The phases of a duty, in their order.
enum class DutyPhase : std::uint8_t {
  /// The owner of the worker's shard was asked to drain the worker.
  kDraining,
  /// The worker is drained, or needs no drain; the order may be recorded and
  /// sent.
  kReady,
  /// The order is being recorded in the store.
  kRecording,
  /// The order was sent and has no answer yet.
  kOrdered,
  /// The platform accepted the order; the VM is not back yet.
  kInProgress
};

/// A move of a VM to another pool, or its upkeep.
struct Duty {
  VmId vm;
  /// Empty for a VM without a worker.
  WorkerId worker;
  ServiceName from;
  /// The pool that the VM moves to; set only for a move.
  ServiceName target;
  /// The number of the wave; set only for an upkeep.
  std::optional<std::int64_t> wave;
  DutyPhase phase = DutyPhase::kDraining;
  TimePoint since;
  /// Earliest time at which the order may be sent, or sent again.
  TimePoint not_before;
};

/// The progress of a maintenance wave.
struct WaveProgress {
  WaveRequest request;
  std::set<VmId> done;
  TimePoint declared_at;
  /// The progress differs from what is stored.
  bool dirty = false;
  bool completed = false;
};

/// The state of the entry that moves and maintains VMs.
struct DutyState {
  TimePoint owned_since;
  std::map<VmId, MachineView> machines;
  bool has_machine_list = false;
  /// The load of each shard, and that of each pool, which is the sum of them.
  std::map<ShardName, PoolLoad> shard_loads;
  std::map<ServiceName, PoolLoad> loads;
  std::map<ServiceName, PoolNeed> needs;
  /// Number of VMs of each pool in the first list that was read, which is the
  /// size that the operators chose.
  std::map<ServiceName, int> base_sizes;
  ServiceName spare_pool;
  std::set<ServiceName> pools;
  /// Number of parts of each pool; a pool that is not listed has one.
  std::map<ServiceName, int> part_counts;
  std::map<std::int64_t, WaveProgress> waves;
  std::map<VmId, Duty> duties;
  /// VMs of waves that are not in the list, with the number of consecutive
  /// lists that they were missing from.
  std::map<VmId, int> missing_lists;
  /// VMs with a stored record of an order, with the time until which a new
  /// owner must send no order for them.
  std::map<VmId, TimePoint> recorded_until;
  /// VMs with a record that a former owner stored.
  std::set<VmId> former_orders;
  /// Workers that ended with an order, with the time at which their
  /// registration has expired.
  std::map<WorkerId, TimePoint> retired_workers;
  /// Earliest time of a VM's next move, so that no VM alternates between pools.
  std::map<VmId, TimePoint> next_move_at;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_DUTY_STATE_H_
