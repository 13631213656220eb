#ifndef FIREFLYTHREAD_CONTROL_CONTROLLER_H_
#define FIREFLYTHREAD_CONTROL_CONTROLLER_H_

#include "fireflythread/control/controller_decision.h"
#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/controller_memory.h"

namespace fireflythread {

/// One step of the controller. The daemon calls it about every 250 ms while it
/// holds the lease, has no transaction outstanding or of unknown result, and
/// its fleet view and wave rows are as new as its last commit. Acknowledgements
/// are put into `memory.drains` with NoteDrainAcknowledgement as they arrive.
[[nodiscard]] auto RunControllerStep(const ControllerInputs& inputs,
                                     ControllerMemory& memory)
    -> ControllerDecision;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_H_
