#ifndef FIREFLYTHREAD_ADMIN_BLOCKED_VM_H_
#define FIREFLYTHREAD_ADMIN_BLOCKED_VM_H_

#include <string>

#include "fireflythread/base/ids.h"

namespace fireflythread::admin {

/// A VM that a wave or a move cannot take now, and the budget or cause that
/// blocks it, e.g. "max_unavailable of profile counter in pool counter-desk".
struct BlockedVm {
  VmId vm;
  std::string reason;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_BLOCKED_VM_H_
