#ifndef FIREFLYTHREAD_ADMISSION_REQUEST_CLASS_H_
#define FIREFLYTHREAD_ADMISSION_REQUEST_CLASS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace fireflythread {

/// The priority class of a request, highest first. The values index arrays of
/// kRequestClasses elements.
enum class RequestClass : std::uint8_t { kCounter, kDeadline, kBatch };

inline constexpr std::size_t kRequestClasses = 3;

[[nodiscard]] constexpr auto RequestClassName(RequestClass value)
    -> std::string_view {
  switch (value) {
    case RequestClass::kCounter:
      return "counter";
    case RequestClass::kDeadline:
      return "deadline";
    case RequestClass::kBatch:
      break;
  }
  return "batch";
}

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_REQUEST_CLASS_H_
