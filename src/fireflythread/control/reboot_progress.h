#ifndef FIREFLYTHREAD_CONTROL_REBOOT_PROGRESS_H_
#define FIREFLYTHREAD_CONTROL_REBOOT_PROGRESS_H_

#include "fireflythread/control/fwd.h"
#include "fireflythread/fleet/fwd.h"

namespace fireflythread {

/// Tells a drained VM's worker to drain and marks the row as rebooting. The
/// reboot itself is ordered in a later step, once the row is written.
auto BeginReboot(const ControllerInputs& inputs,
                 const VmRecord& record,
                 FleetDraft& draft,
                 ControllerDecision& decision) -> void;

/// Orders the reboot until it is seen: the VM has stopped answering, shows
/// another boot id, or the list shows it as leaving, as it does for a VM that
/// reboots. Fails the VM after the time limit.
auto StepRebooting(const ControllerInputs& inputs,
                   ControllerMemory& memory,
                   const VmRecord& record,
                   bool leaving,
                   FleetDraft& draft,
                   ControllerDecision& decision) -> void;

/// Lets a rebooted VM serve again once its health probes have succeeded for the
/// time limit and the list does not show it as leaving. Fails it after the
/// limit for coming back.
auto StepVerifying(const ControllerInputs& inputs,
                   ControllerMemory& memory,
                   const VmRecord& record,
                   bool leaving,
                   FleetDraft& draft,
                   ControllerDecision& decision) -> void;

/// Moves the VM from its wave's remaining VMs to those done or failed.
auto RecordWaveResult(const ControllerInputs& inputs,
                      const VmRecord& record,
                      bool succeeded,
                      FleetDraft& draft) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_REBOOT_PROGRESS_H_
