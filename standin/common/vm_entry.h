#ifndef STANDIN_COMMON_VM_ENTRY_H_
#define STANDIN_COMMON_VM_ENTRY_H_

#include <string>

namespace fireflythread::standin {

/// One VM of the VM file.
struct VmEntry {
  std::string id;
  /// Host and port of the backend server.
  std::string address;
  /// Host and port of the control listener of the backend stand-in.
  std::string control;
  std::string zone;
  std::string rack;
  std::string pool;
  int cores = 0;
  int memory_mb = 0;
  int accelerators = 0;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_COMMON_VM_ENTRY_H_
