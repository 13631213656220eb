#ifndef FIREFLYTHREAD_RETRY_IDEMPOTENCY_RECORD_H_
#define FIREFLYTHREAD_RETRY_IDEMPOTENCY_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/retry/recorded_answer.h"

namespace fireflythread {

/// State of a keyed request. kClaimed: an entry may send the request.
/// kAnswered: `answer` is its only answer. kUnknown: the request may have run,
/// but its answer is lost. kNotRun: the request is known not to have run and
/// may be claimed again.
enum class RecordState : std::uint8_t {
  kClaimed,
  kAnswered,
  kUnknown,
  kNotRun
};

/// A row of the table `request`: the state of one request with an idempotency
/// key.
struct IdempotencyRecord {
  /// Identifies the claim, so that an entry recognises its own claim when the
  /// store's answer to the write was lost.
  std::string nonce;
  EntryId entry;
  /// Incarnation of the entry that wrote the claim; 0 if not known.
  std::uint64_t incarnation = 0;
  RecordState state = RecordState::kClaimed;
  /// Digest of method, target and body; detects a different request with the
  /// same key.
  std::string fingerprint;
  WallTime claimed_at;
  std::optional<RecordedAnswer> answer;
};

[[nodiscard]] auto EncodeRecord(const IdempotencyRecord& record) -> std::string;

/// Returns no value if the text is not a valid record.
[[nodiscard]] auto DecodeRecord(std::string_view text)
    -> std::optional<IdempotencyRecord>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_IDEMPOTENCY_RECORD_H_
