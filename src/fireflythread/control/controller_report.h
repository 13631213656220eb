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

/// What keeps a wave from taking a VM.
enum class WaveBudget : std::uint8_t {
  kMaxUnavailable,
  kHeadroom,
  kWindow,
  kAvailability,
  kReserve
};

[[nodiscard]] auto WaveBudgetName(WaveBudget budget) -> std::string_view;

/// A VM that a wave waits for.
struct BlockedVm {
  VmId vm;
  WaveId wave;
  PoolName pool;
  WaveBudget budget = WaveBudget::kMaxUnavailable;

  auto operator==(const BlockedVm&) const -> bool = default;
};

/// A VM that needs an operator's attention, or that waits for members.
struct VmNotice {
  VmId vm;
  std::string reason;
};

struct PoolStatus {
  int vms = 0;
  /// VMs that take new work.
  int serving = 0;
  /// VMs on their way into the pool.
  int incoming = 0;
  /// VMs for the demand with headroom.
  int needed = 0;
  /// VMs that the pool keeps; of the spare pool, the shared reserve.
  int target = 0;
  /// VMs short of `needed` that no other pool could give.
  int missing = 0;
};

struct WaveStatus {
  WaveState state = WaveState::kDeclared;
  int remaining = 0;
  int out = 0;
  int done = 0;
  int failed = 0;
  /// From now until the last VM is back if budgets stay as they are.
  Duration expected{0};
};

/// What the controller saw and why it did not do more; for operators.
struct ControllerReport {
  std::map<PoolName, PoolStatus> pools;
  std::map<WaveId, WaveStatus> waves;
  std::vector<BlockedVm> blocked;
  std::vector<VmNotice> failed;
  std::vector<VmNotice> ejected;
  /// Drains with the members that have not acknowledged them.
  std::vector<VmNotice> draining;
  int moves_started = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_REPORT_H_
