#ifndef FIREFLYTHREAD_PLATFORM_PLATFORM_ERROR_H_
#define FIREFLYTHREAD_PLATFORM_PLATFORM_ERROR_H_

#include <string>

namespace fireflythread {

/// A read or command that gave no usable answer. `may_have_run` is false only
/// if the platform certainly did not carry the command out. `stale_fence` says
/// that it refused the command because of a newer fencing token.
struct PlatformError {
  std::string reason;
  bool may_have_run = true;
  bool stale_fence = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_PLATFORM_ERROR_H_
