#ifndef FIREFLYTHREAD_FLEET_VM_TRANSITIONS_H_
#define FIREFLYTHREAD_FLEET_VM_TRANSITIONS_H_

#include <optional>
#include <string_view>

#include "fireflythread/fleet/fwd.h"
#include "fireflythread/fleet/vm_state.h"

namespace fireflythread {

/// The name of a state in rows and in output, e.g. "draining".
[[nodiscard]] auto VmStateName(VmState state) -> std::string_view;

/// The state with this name; no value for an unknown name.
[[nodiscard]] auto ParseVmState(std::string_view name)
    -> std::optional<VmState>;

/// Whether a VM's row may go from one state to another. A pool change or a
/// reboot is reached only through kDraining and kDrained, so that every entry
/// has acknowledged the drain before.
[[nodiscard]] auto IsAllowedTransition(VmState from, VmState to) -> bool;

/// Whether one row may follow another: the transition is allowed, the
/// generation has grown by one, and the pool changes only from kDrained to
/// kServing and only to `next_pool`.
[[nodiscard]] auto IsAllowedChange(const VmRecord& from, const VmRecord& to)
    -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_VM_TRANSITIONS_H_
