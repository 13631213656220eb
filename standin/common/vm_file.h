#ifndef STANDIN_COMMON_VM_FILE_H_
#define STANDIN_COMMON_VM_FILE_H_

#include <string>
#include <vector>

#include "standin/common/vm_entry.h"

namespace fireflythread::standin {

/// Reads `{"vms": [...]}`. Ends the process with a message when the file cannot
/// be read.
[[nodiscard]] auto ReadVmFile(const std::string& path) -> std::vector<VmEntry>;

/// Writes the file under a temporary name and renames it.
auto WriteVmFile(const std::string& path, const std::vector<VmEntry>& vms)
    -> void;

}  // namespace fireflythread::standin

#endif  // STANDIN_COMMON_VM_FILE_H_
