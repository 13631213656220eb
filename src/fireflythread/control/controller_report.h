#ifndef FIREFLYTHREAD_CONTROL_CONTROLLER_REPORT_H_
#define FIREFLYTHREAD_CONTROL_CONTROLLER_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/control/wave_record.h"

namespace fireflythread {

/// A budget of a pool that can prevent a wave from draining a VM.
enum class WaveBudget : std::uint8_t {
  kMaxUnavailable,
  kHeadroom,
  kWindow,
  kAvailability,
  kReserve
};

[[nodiscard]] auto WaveBudgetName(WaveBudget budget) -> std::string_view;

/// A VM that a wave cannot drain yet, and the budget that prevents it.
struct BlockedVm {
  VmId vm;
  WaveId wave;
  PoolName pool;
  WaveBudget budget = WaveBudget::kMaxUnavailable;

  auto operator==(const BlockedVm&) const -> bool = default;
};

/// A VM that an operator should know about, and why.
struct VmNotice {
  VmId vm;
  std::string reason;
};

/// The size of a pool and what it needs, in VMs.
struct PoolStatus {
  int vms = 0;
  /// VMs that accept new work.
  int serving = 0;
  /// VMs that will serve in this pool without a further decision.
  int incoming = 0;
  /// VMs that the current demand with headroom requires.
  int needed = 0;
  /// VMs that the pool keeps; for the spare pool, the shared reserve.
  int target = 0;
  /// VMs that the pool lacks for its demand or its minimum size after the moves
  /// of this step.
  int missing = 0;
};

/// The progress of a wave.
struct WaveStatus {
  WaveState state = WaveState::kDeclared;
  int remaining = 0;
  /// VMs that are unavailable for the wave now.
  int out = 0;
  int done = 0;
  int failed = 0;
  /// Estimated time until the last VM serves again, if the budgets stay the
  /// same; 0 unless the wave is running.
  Duration expected{0};
};

/// What a step observed and which budgets prevented it from doing more. Shown
/// to operators.
struct ControllerReport {
  std::map<PoolName, PoolStatus> pools;
  std::map<WaveId, WaveStatus> waves;
  std::vector<BlockedVm> blocked;
  std::vector<VmNotice> failed;
  std::vector<VmNotice> ejected;
  /// Unfinished drains, each with what it waits for: members that have not
  /// acknowledged it, or long-running tasks.
  std::vector<VmNotice> draining;
  int moves_started = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_REPORT_H_
