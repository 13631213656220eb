#ifndef FIREFLYTHREAD_CONTROL_CONTROLLER_MEMORY_H_
#define FIREFLYTHREAD_CONTROL_CONTROLLER_MEMORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/fleet/drain_tracker.h"

namespace fireflythread {

/// Since when the row of a VM that is not serving has had its generation, as
/// this controller saw it.
struct VmTimer {
  std::uint64_t generation = 0;
  TimePoint since;
  std::optional<TimePoint> last_command;
};

/// The largest need of a pool in the recent past.
struct PeakNeed {
  int peak = 0;
  TimePoint since;
  /// The largest need since `since`.
  int recent = 0;
  /// All VMs of the pool are kept, because its demand is not known or was not
  /// until less than a hold time ago.
  bool keep_whole_pool = false;
};

/// What a controller remembers between its steps. A new controller starts with
/// an empty one; it then waits out all time limits anew.
struct ControllerMemory {
  DrainTracker drains;
  std::map<VmId, VmTimer> timers;
  std::map<VmId, TimePoint> missing_since;
  std::map<PoolName, PeakNeed> needs;
  /// When each VM that is out for a wave was taken.
  std::map<VmId, TimePoint> unavailable_since;
  /// Mean time from taking a VM until it serves again; starts with a guess.
  Duration maintenance_time = std::chrono::seconds(60);
  /// Counts the steps; makes the nonces of transactions distinct.
  std::uint64_t steps = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_MEMORY_H_
