#ifndef FIREFLYTHREAD_CONTROL_FLEET_SUMMARY_H_
#define FIREFLYTHREAD_CONTROL_FLEET_SUMMARY_H_

#include <map>
#include <set>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/fwd.h"
#include "fireflythread/fleet/vm_record.h"

namespace fireflythread {

/// The VMs of one pool, with the step's changes applied.
struct PoolState {
  /// VMs that accept new work: serving, listed, not leaving and not ejected.
  /// The records belong to the fleet view.
  std::vector<const VmRecord*> serving;
  /// VMs of the pool that accept no new work, because they are in maintenance,
  /// failed, ejected, leaving or not listed.
  int unavailable = 0;
  /// VMs that are unavailable for a wave and serve again afterwards.
  int wave_unavailable = 0;
  /// VMs that are moving here from other pools, and VMs that serve from the
  /// next step on.
  int incoming = 0;
  /// VMs of the pool, without those that are moving to another pool.
  int size = 0;
};

/// The counts that the planning stages of a step share.
struct FleetSummary {
  std::map<PoolName, PoolState> pools;
  /// Number of VMs that are unavailable for each wave.
  std::map<WaveId, int> wave_unavailable;
  /// VMs that accept no new work even if their row says serving.
  std::set<VmId> unusable;
};

/// Returns the VMs that the VM list shows as leaving or does not contain, and
/// the VMs that at least two entries have ejected, or one entry when fewer than
/// two are registered.
[[nodiscard]] auto FindUnusableVms(const ControllerInputs& inputs)
    -> std::set<VmId>;

/// Counts the VMs of every pool of the configuration and of the fleet, with
/// the draft's changes applied.
[[nodiscard]] auto SummarizeFleet(const ControllerInputs& inputs,
                                  const FleetDraft& draft) -> FleetSummary;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_FLEET_SUMMARY_H_
