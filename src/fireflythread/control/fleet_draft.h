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

/// Rows written by one step. Bounds the transaction's size, so that adopting
/// or draining many VMs takes several steps.
inline constexpr int kMaxRowsPerStep = 128;

/// The changes that a step makes to fleet and wave rows. Each VM changes at
/// most once in a step.
struct FleetDraft {
  std::map<VmId, VmRecord> changed;
  std::set<VmId> removed;
  std::map<WaveId, WaveRecord> waves;
};

/// Whether the VM's row may still be changed in this step.
[[nodiscard]] auto CanChange(const FleetDraft& draft, const VmId& vm) -> bool;

/// Puts a changed record into the draft with the next generation. The change
/// must be an allowed one.
auto ChangeVm(FleetDraft& draft, const VmRecord& from, VmRecord to) -> void;

/// Puts a new VM's record into the draft.
auto AddVm(FleetDraft& draft, VmRecord record) -> void;

/// Removes the row of a VM that is gone.
auto RemoveVm(FleetDraft& draft, const VmId& vm) -> void;

/// The wave's record in the draft, copied from the inputs at first use.
[[nodiscard]] auto EditWave(FleetDraft& draft,
                            const ControllerInputs& inputs,
                            const WaveId& wave) -> WaveRecord*;

/// Whether the draft holds changes.
[[nodiscard]] auto HasChanges(const FleetDraft& draft) -> bool;

/// The transaction that writes the draft, conditioned on the epoch row, the
/// head row and every row it changes.
[[nodiscard]] auto MakeTransaction(const FleetDraft& draft,
                                   const ControllerInputs& inputs,
                                   std::string nonce) -> Transaction;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_FLEET_DRAFT_H_
