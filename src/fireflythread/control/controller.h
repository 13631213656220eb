#ifndef FIREFLYTHREAD_CONTROL_CONTROLLER_H_
#define FIREFLYTHREAD_CONTROL_CONTROLLER_H_

#include "fireflythread/control/controller_decision.h"
#include "fireflythread/control/controller_inputs.h"
#include "fireflythread/control/controller_memory.h"

namespace fireflythread {

/// Runs one step of the controller and returns what the daemon has to carry
/// out. The daemon calls it about every 250 ms while it holds the lease, no
/// transaction is outstanding or has an unknown result, and its fleet view and
/// wave rows include its last commit. Between steps, the daemon records drain
/// acknowledgements in `memory.drains` with NoteDrainAcknowledgement.
[[nodiscard]] auto RunControllerStep(const ControllerInputs& inputs,
                                     ControllerMemory& memory)
    -> ControllerDecision;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_CONTROLLER_H_
