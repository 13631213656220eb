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

/// The VMs of one pool, as the step's changes leave them.
struct PoolState {
  /// VMs that take new work: serving, listed, not leaving and not ejected.
  /// Points into the fleet view.
  std::vector<const VmRecord*> serving;
  /// VMs of the pool that are out: for a wave, failed, ejected or leaving.
  int unavailable = 0;
  /// VMs out for a wave; they come back.
  int wave_unavailable = 0;
  /// VMs of other pools that are draining for a move into this pool.
  int incoming = 0;
  /// VMs of the pool, without those that move to another pool.
  int size = 0;
};

/// What the planning stages share.
struct FleetSummary {
  std::map<PoolName, PoolState> pools;
  /// VMs out for each wave.
  std::map<WaveId, int> wave_unavailable;
  /// VMs that count as lost although their row says serving.
  std::set<VmId> unusable;
};

/// VMs that the list shows as leaving or does not show, and VMs that enough
/// entries have ejected: two, or all when there are fewer.
[[nodiscard]] auto FindUnusableVms(const ControllerInputs& inputs)
    -> std::set<VmId>;

/// Counts the VMs of every pool of the configuration and of the fleet, with
/// the draft's changes applied.
[[nodiscard]] auto SummarizeFleet(const ControllerInputs& inputs,
                                  const FleetDraft& draft) -> FleetSummary;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_FLEET_SUMMARY_H_
