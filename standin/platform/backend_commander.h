#ifndef STANDIN_PLATFORM_BACKEND_COMMANDER_H_
#define STANDIN_PLATFORM_BACKEND_COMMANDER_H_

#include <libsoup/soup.h>

#include <nlohmann/json.hpp>
#include <string>

#include "standin/common/vm_entry.h"

namespace fireflythread::standin {

/// Passes VM commands on to the backend stand-in's control listener, in the
/// order in which they were given.
class BackendCommander {
 public:
  BackendCommander();
  ~BackendCommander();
  BackendCommander(const BackendCommander&) = delete;
  auto operator=(const BackendCommander&) -> BackendCommander& = delete;

  /// Posts `body` to `/vms/ID/COMMAND`. Failures go to standard error.
  auto Send(const VmEntry& vm,
            const std::string& command,
            const nlohmann::json& body) -> void;

 private:
  SoupSession* session;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_PLATFORM_BACKEND_COMMANDER_H_
