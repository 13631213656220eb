#ifndef FIREFLYTHREAD_PLATFORM_VM_LIST_RESULT_H_
#define FIREFLYTHREAD_PLATFORM_VM_LIST_RESULT_H_

#include <cstdint>
#include <vector>

#include "fireflythread/platform/listed_vm.h"

namespace fireflythread {

/// The VM list as of `version`, which grows with every change of the list.
/// `changed` is false when the asked-for version is still current; `vms` is
/// then empty.
struct VmListResult {
  std::uint64_t version = 0;
  bool changed = false;
  std::vector<ListedVm> vms;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_VM_LIST_RESULT_H_
