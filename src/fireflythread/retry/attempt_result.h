#ifndef FIREFLYTHREAD_RETRY_ATTEMPT_RESULT_H_
#define FIREFLYTHREAD_RETRY_ATTEMPT_RESULT_H_

#include <cstdint>
#include <string_view>

namespace fireflythread {

/// The result of one attempt. kNotSent: no byte was written. kRefused: the
/// worker stated that it did not run the request. kUnknown: bytes were written,
/// but no complete, verified answer was received.
enum class AttemptResult : std::uint8_t {
  kAnswered,
  kNotSent,
  kRefused,
  kUnknown
};

/// Returns the name of a result in logs, metrics and traces.
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
