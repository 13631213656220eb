#ifndef FIREFLYTHREAD_CONTROL_VM_PROBE_H_
#define FIREFLYTHREAD_CONTROL_VM_PROBE_H_

#include <string>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// The last result of the controller's own health probes of a VM.
struct VmProbe {
  bool answering = false;
  /// When `answering` last changed.
  TimePoint since;
  /// The boot id in the last answer; empty when the answer had none.
  std::string boot;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONTROL_VM_PROBE_H_
