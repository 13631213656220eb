#ifndef FIREFLYTHREAD_CONTROL_VM_PROGRESS_H_
#define FIREFLYTHREAD_CONTROL_VM_PROGRESS_H_

#include "fireflythread/control/fwd.h"

namespace fireflythread {

/// Advances every VM that is not simply serving: completes drains, moves and
/// reboots, drains VMs that leave, and removes VMs that are gone. Adds commands
/// and notices to the decision and puts row changes into the draft.
auto ProgressVms(const ControllerInputs& inputs,
                 ControllerMemory& memory,
                 FleetDraft& draft,
                 ControllerDecision& decision) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_VM_PROGRESS_H_
