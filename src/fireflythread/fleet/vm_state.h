#ifndef FIREFLYTHREAD_FLEET_VM_STATE_H_
#define FIREFLYTHREAD_FLEET_VM_STATE_H_

#include <cstdint>

namespace fireflythread {

/// Entries send new work only to a VM in kServing.
enum class VmState : std::uint8_t {
  kServing,
  kDraining,
  kDrained,
  kRebooting,
  kVerifying,
  kFailed
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_VM_STATE_H_
