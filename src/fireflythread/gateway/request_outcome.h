#ifndef FIREFLYTHREAD_GATEWAY_REQUEST_OUTCOME_H_
#define FIREFLYTHREAD_GATEWAY_REQUEST_OUTCOME_H_

#include <cstdint>
#include <string_view>

namespace fireflythread {

/// What the caller is told in `Fireflythread-Outcome`.
enum class RequestOutcome : std::uint8_t { kAnswered, kNotRun, kUnknown };

[[nodiscard]] constexpr auto RequestOutcomeName(RequestOutcome outcome)
    -> std::string_view {
  switch (outcome) {
    case RequestOutcome::kAnswered:
      return "answered";
    case RequestOutcome::kNotRun:
      return "not-run";
    case RequestOutcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_REQUEST_OUTCOME_H_
