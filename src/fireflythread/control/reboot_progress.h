#ifndef FIREFLYTHREAD_CONTROL_REBOOT_PROGRESS_H_
#define FIREFLYTHREAD_CONTROL_REBOOT_PROGRESS_H_

#include "fireflythread/control/fwd.h"
#include "fireflythread/fleet/fwd.h"

namespace fireflythread {

/// Commands the worker of a drained VM to drain and sets the row to rebooting.
/// The reboot command follows in a later step, once the row is written.
auto BeginReboot(const ControllerInputs& inputs,
                 const VmRecord& record,
                 FleetDraft& draft,
                 ControllerDecision& decision) -> void;

/// Repeats the reboot command until the reboot is observed: the VM reports
/// another boot id, stops answering while one of the boot ids is unknown, or is
/// shown as leaving in the VM list, as rebooting VMs are. Marks the VM as
/// failed after the reboot timeout.
auto StepRebooting(const ControllerInputs& inputs,
                   ControllerMemory& memory,
                   const VmRecord& record,
                   bool leaving,
                   FleetDraft& draft,
                   ControllerDecision& decision) -> void;

/// Returns a rebooted VM to service once its health probes have succeeded for
/// `limits.verify` and the VM list does not show it as leaving. Marks it as
/// failed after the reboot timeout.
auto StepVerifying(const ControllerInputs& inputs,
                   ControllerMemory& memory,
                   const VmRecord& record,
                   bool leaving,
                   FleetDraft& draft,
                   ControllerDecision& decision) -> void;

/// Moves the VM from the remaining VMs of its wave to the done or failed ones.
/// Does nothing when the VM is in no wave or the wave does not exist.
auto RecordWaveResult(const ControllerInputs& inputs,
                      const VmRecord& record,
                      bool succeeded,
                      FleetDraft& draft) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_REBOOT_PROGRESS_H_
