#ifndef FIREFLYTHREAD_ADMISSION_REFUSAL_REASON_H_
#define FIREFLYTHREAD_ADMISSION_REFUSAL_REASON_H_

#include <cstdint>
#include <string_view>

namespace fireflythread {

/// Why a request was not run. Each reason has one text, sent to the caller in
/// the header `Fireflythread-Reason`, and one HTTP status.
enum class RefusalReason : std::uint8_t {
  kMalformed,
  kKeyMissing,
  kKeyReused,
  kUnknownService,
  kHeadersTooLarge,
  kBodyTooLarge,
  kSizeFitsNoWorker,
  kTeamRate,
  kTeamInFlight,
  kQueueFull,
  kDeadlineUnreachable,
  kDeadlinePassed,
  kNotFresh,
  kNotReady,
  kShuttingDown,
  kNoWorker,
  kRefusedByWorkers,
  kNotRecorded,
  kCallerGone
};

[[nodiscard]] auto RefusalReasonText(RefusalReason reason) -> std::string_view;
[[nodiscard]] auto RefusalHttpStatus(RefusalReason reason) -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_REFUSAL_REASON_H_
