#ifndef FIREFLYTHREAD_CONTROL_FLEET_DRAFT_H_
#define FIREFLYTHREAD_CONTROL_FLEET_DRAFT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/wave_record.h"
#include "fireflythread/fleet/vm_record.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {

/// Maximum number of VM rows that a step changes. It limits the size of the
/// transaction; adopting or draining more VMs takes several steps.
inline constexpr int kMaxRowsPerStep = 128;

/// The changes to VM and wave rows that a step has collected. Each VM changes
/// at most once in a step.
struct FleetDraft {
  std::map<VmId, VmRecord> changed;
  std::set<VmId> removed;
  std::map<WaveId, WaveRecord> waves;
};

/// Returns whether the VM's row may still be changed in this step: it is
/// unchanged, and the step has changed fewer than `kMaxRowsPerStep` VM rows.
[[nodiscard]] auto CanChange(const FleetDraft& draft, const VmId& vm) -> bool;

/// Adds a changed record to the draft and increments its generation. The VM
/// state machine must allow the change, and CanChange must hold.
auto ChangeVm(FleetDraft& draft, const VmRecord& from, VmRecord to) -> void;

/// Adds the record of a new VM to the draft. CanChange must hold.
auto AddVm(FleetDraft& draft, VmRecord record) -> void;

/// Removes the row of a VM that no longer exists. CanChange must hold.
auto RemoveVm(FleetDraft& draft, const VmId& vm) -> void;

/// Returns the wave's record in the draft for editing, copied from the inputs
/// on first use; null when no such wave exists.
[[nodiscard]] auto EditWave(FleetDraft& draft,
                            const ControllerInputs& inputs,
                            const WaveId& wave) -> WaveRecord*;

/// Returns whether the draft contains any change.
[[nodiscard]] auto HasChanges(const FleetDraft& draft) -> bool;

/// Returns the transaction that writes the draft and increments the fleet
/// version. It is conditioned on the versions of the epoch row, the head row
/// and every row that it changes.
[[nodiscard]] auto MakeTransaction(const FleetDraft& draft,
                                   const ControllerInputs& inputs,
                                   std::string nonce) -> Transaction;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_FLEET_DRAFT_H_
