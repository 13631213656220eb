#ifndef FIREFLYTHREAD_CONTROL_WAVE_RECORD_H_
#define FIREFLYTHREAD_CONTROL_WAVE_RECORD_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread {

enum class WaveState : std::uint8_t {
  kDeclared,
  kRunning,
  kFinished,
  kCancelled
};

enum class WaveSelectorKind : std::uint8_t { kAll, kZone, kRack, kPool, kVms };

/// Which VMs a wave takes. `name` is the zone, rack or pool; `vms` is used by
/// kVms only.
struct WaveSelector {
  WaveSelectorKind kind = WaveSelectorKind::kAll;
  std::string name;
  std::vector<VmId> vms;

  auto operator==(const WaveSelector&) const -> bool = default;
};

/// One maintenance wave's row in the `wave` table. Any entry declares or
/// cancels it; the controller advances it. VMs that are out now are those
/// whose fleet row names the wave.
struct WaveRecord {
  WaveId id;
  std::uint64_t version = 0;
  WaveSelector selector;
  WaveState state = WaveState::kDeclared;
  std::string declared_by;
  /// Milliseconds since 1970 UTC.
  std::int64_t declared_at_ms = 0;
  /// Chosen when the wave starts to run; a VM stays until it is back.
  std::vector<VmId> remaining;
  std::vector<VmId> done;
  /// VMs that did not come back; they are in kFailed with a reason.
  std::vector<VmId> failed;

  auto operator==(const WaveRecord&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_WAVE_RECORD_H_
