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

/// Selects the VMs of a wave. `name` is the zone, rack or pool; `vms`
/// is used only by kVms.
struct WaveSelector {
  WaveSelectorKind kind = WaveSelectorKind::kAll;
  std::string name;
  std::vector<VmId> vms;

  auto operator==(const WaveSelector&) const -> bool = default;
};

/// The row of a maintenance wave in the `wave` table. Any entry can declare or
/// cancel a wave; the controller advances it. The VMs that are unavailable for
/// it now are those whose fleet row names the wave.
struct WaveRecord {
  WaveId id;
  std::uint64_t version = 0;
  WaveSelector selector;
  WaveState state = WaveState::kDeclared;
  std::string declared_by;
  /// Milliseconds since 1970 UTC.
  std::int64_t declared_at_ms = 0;
  /// VMs that are not finished. Chosen when the wave starts to run; a VM is
  /// removed once it is done or failed, or has no fleet row any more.
  std::vector<VmId> remaining;
  std::vector<VmId> done;
  /// VMs whose maintenance failed. Those that still have a fleet row are in
  /// kFailed, with a reason.
  std::vector<VmId> failed;

  auto operator==(const WaveRecord&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_WAVE_RECORD_H_
