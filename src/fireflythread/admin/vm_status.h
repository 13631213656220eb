#ifndef FIREFLYTHREAD_ADMIN_VM_STATUS_H_
#define FIREFLYTHREAD_ADMIN_VM_STATUS_H_

#include <string>
#include <string_view>

#include "fireflythread/fleet/vm_record.h"

namespace fireflythread::admin {

/// One VM's row and what this entry knows beside it.
struct VmStatus {
  VmRecord record;
  /// Requests in flight from this entry.
  int in_flight = 0;
  /// Left out of rotation by this entry because of failures.
  bool ejected = false;
  /// Why it is ejected or what blocks its next step; empty otherwise.
  std::string note;
};

/// "serving", "draining", "drained", "rebooting", "verifying" or "failed".
[[nodiscard]] auto FormatVmState(VmState state) -> std::string_view;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_VM_STATUS_H_
