#ifndef FIREFLYTHREAD_ADMIN_ADMIN_ERROR_H_
#define FIREFLYTHREAD_ADMIN_ADMIN_ERROR_H_

#include <cstdint>
#include <string>
#include <vector>

namespace fireflythread::admin {

/// Why a call of the administration API gave no result.
struct AdminError {
  enum class Kind : std::uint8_t {
    /// No object, VM, wave or trace of this name: 404.
    kNotFound,
    /// The request's content is not allowed; nothing was changed: 422.
    kInvalid,
    /// The entry or the store cannot do it now; nothing was changed: 503.
    kUnavailable,
    /// The edit may or may not have taken effect: 504.
    kUnknownResult
  };

  Kind kind = Kind::kUnavailable;
  std::string message;
  /// One line for each fault of a kInvalid request.
  std::vector<std::string> details;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ADMIN_ERROR_H_
