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

/// Measures how long a VM has been in its current state. Kept for VMs that are
/// neither serving nor failed.
struct VmTimer {
  std::uint64_t generation = 0;
  /// When this controller first saw the row with this generation.
  TimePoint since;
  std::optional<TimePoint> last_command;
};

/// The recent peak of the number of VMs that a pool needs.
struct PeakNeed {
  int peak = 0;
  TimePoint since;
  /// The largest need observed since `since`; the next peak when this one
  /// expires.
  int recent = 0;
  /// Whether the pool keeps all its VMs. True while its demand is unknown and
  /// for at most one hold time afterwards.
  bool keep_whole_pool = false;
};

/// The state that the controller keeps in memory between steps. It is not
/// stored: a new controller starts with an empty one, so all its timeouts start
/// again.
struct ControllerMemory {
  DrainTracker drains;
  std::map<VmId, VmTimer> timers;
  std::map<VmId, TimePoint> missing_since;
  std::map<PoolName, PeakNeed> needs;
  /// When the drain of each VM that is unavailable for a wave began.
  std::map<VmId, TimePoint> unavailable_since;
  /// Moving average of the time from the start of a VM's drain for a wave until
  /// the VM serves again; the initial value holds until the first VM is done.
  Duration maintenance_time = std::chrono::seconds(60);
  /// Number of steps; makes the nonces of transactions unique.
  std::uint64_t steps = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_MEMORY_H_
