#ifndef FIREFLYTHREAD_CONTROL_VM_PROGRESS_H_
#define FIREFLYTHREAD_CONTROL_VM_PROGRESS_H_

#include "fireflythread/control/fwd.h"

namespace fireflythread {

/// Advances the state of every VM: completes drains, moves and reboots, drains
/// VMs that are leaving or missing from the VM list, and removes the rows of
/// VMs that no longer exist. Adds commands and notices to the decision and row
/// changes to the draft.
auto ProgressVms(const ControllerInputs& inputs,
                 ControllerMemory& memory,
                 FleetDraft& draft,
                 ControllerDecision& decision) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_VM_PROGRESS_H_
