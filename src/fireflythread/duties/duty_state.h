#ifndef FIREFLYTHREAD_DUTIES_DUTY_STATE_H_
#define FIREFLYTHREAD_DUTIES_DUTY_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/duties/machine_view.h"
#include "fireflythread/duties/pool_load.h"
#include "fireflythread/jobs/wave_request.h"

namespace fireflythread {

enum class DutyPhase : std::uint8_t {
  /// The shard's owner was asked to empty the worker.
  kDraining,
  /// The worker is empty; the order may be sent.
  kReady,
  /// The order is being recorded.
  kRecording,
  /// The order was sent and not answered yet.
  kOrdered,
  /// The order was carried out; the VM is not back yet.
  kInProgress
};

/// A VM's way to another pool, or through its upkeep.
struct Duty {
  VmId vm;
  /// Empty for a VM without a worker to empty.
  WorkerId worker;
  ServiceName from;
  /// Set for a move.
  ServiceName target;
  /// Set for an upkeep.
  std::optional<std::int64_t> wave;
  DutyPhase phase = DutyPhase::kDraining;
  TimePoint since;
  /// The order may be sent (again) from this time on.
  TimePoint not_before;
};

/// How far a maintenance wave has come.
struct WaveProgress {
  WaveRequest request;
  std::set<VmId> done;
  TimePoint declared_at;
  /// The progress differs from what is stored.
  bool dirty = false;
  bool completed = false;
};

/// A pool's recent need, in workers.
struct PoolNeed {
  /// For the work that can still be in time.
  int needed = 0;
  /// Workers with lasting tasks.
  int long_running_workers = 0;
  /// For late work as well, which may use what no other pool needs.
  int needed_with_late_work = 0;
  /// The use was this low since this time.
  TimePoint low_since;
  bool low = false;
};

/// What the entry that moves and maintains VMs knows.
struct DutyState {
  TimePoint owned_since;
  std::map<VmId, MachineView> machines;
  bool has_machine_list = false;
  std::map<ServiceName, PoolLoad> loads;
  std::map<ServiceName, PoolNeed> needs;
  /// VMs of each pool when the list was first read: the operators' sizing.
  std::map<ServiceName, int> base_sizes;
  ServiceName spare_pool;
  std::set<ServiceName> pools;
  std::map<std::int64_t, WaveProgress> waves;
  std::map<VmId, Duty> duties;
  /// VMs of waves that are not listed, with the lists read since.
  std::map<VmId, int> missing_lists;
  /// VMs with a record of an order, with the time until which another holder
  /// must leave them alone.
  std::map<VmId, TimePoint> recorded_until;
  /// The recorded VMs whose order may be of a former owner.
  std::set<VmId> former_orders;
  /// Workers that ended with an order, until their entries have lapsed.
  std::map<WorkerId, TimePoint> retired_workers;
  /// Earliest next move of a VM, so that none flaps.
  std::map<VmId, TimePoint> next_move_at;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_DUTY_STATE_H_
