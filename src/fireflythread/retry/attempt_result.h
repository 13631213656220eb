#ifndef FIREFLYTHREAD_RETRY_ATTEMPT_RESULT_H_
#define FIREFLYTHREAD_RETRY_ATTEMPT_RESULT_H_

#include <cstdint>
#include <string_view>

namespace fireflythread {

/// What is known of one attempt. kNotSent: no byte was written. kRefused: the
/// worker stated that it did not run the request. kUnknown: bytes were written
/// and no whole, verified answer came back.
enum class AttemptResult : std::uint8_t {
  kAnswered,
  kNotSent,
  kRefused,
  kUnknown
};

[[nodiscard]] constexpr auto AttemptResultName(AttemptResult result)
    -> std::string_view {
  switch (result) {
    case AttemptResult::kAnswered:
      return "answered";
    case AttemptResult::kNotSent:
      return "not_sent";
    case AttemptResult::kRefused:
      return "refused";
    case AttemptResult::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_ATTEMPT_RESULT_H_
