#ifndef FIREFLYTHREAD_CONTROL_VM_PROBE_H_
#define FIREFLYTHREAD_CONTROL_VM_PROBE_H_

#include <string>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// What the controller's own health probe of a VM showed last.
struct VmProbe {
  bool answering = false;
  /// When `answering` last changed.
  TimePoint since;
  /// The boot id in the probe's last answer; empty when it has none.
  std::string boot;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_VM_PROBE_H_
