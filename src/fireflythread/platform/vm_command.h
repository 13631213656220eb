#ifndef FIREFLYTHREAD_PLATFORM_VM_COMMAND_H_
#define FIREFLYTHREAD_PLATFORM_VM_COMMAND_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"

namespace fireflythread {

enum class VmCommandKind { kDrain, kUndrain, kReboot, kStop };

/// An order to a VM. The platform refuses it when `fence`, the controller's
/// epoch, is lower than the highest it has seen.
struct VmCommand {
  VmId vm;
  VmCommandKind kind = VmCommandKind::kDrain;
  std::uint64_t fence = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_VM_COMMAND_H_
