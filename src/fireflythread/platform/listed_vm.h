#ifndef FIREFLYTHREAD_PLATFORM_LISTED_VM_H_
#define FIREFLYTHREAD_PLATFORM_LISTED_VM_H_

#include <string>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// One entry of the platform's VM list, which lags behind.
struct ListedVm {
  VmId id;
  /// Host and port of the backend server, e.g. "127.0.0.1:9001".
  std::string address;
  ZoneName zone;
  RackName rack;
  /// True when the platform is taking the VM away.
  bool leaving = false;
  int cores = 0;
  int memory_mb = 0;
  int accelerators = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_LISTED_VM_H_
