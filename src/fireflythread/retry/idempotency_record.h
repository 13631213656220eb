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

/// kClaimed: an entry may send the request. kAnswered: `answer` is its one
/// answer. kUnknown: it may have run and its answer is lost. kNotRun: it was
/// certainly not run and may be claimed anew.
enum class RecordState : std::uint8_t {
  kClaimed,
  kAnswered,
  kUnknown,
  kNotRun
};

/// A row of the table `request`: what is known of one keyed request.
struct IdempotencyRecord {
  /// Names the claim, to tell one's own after a lost answer.
  std::string nonce;
  EntryId entry;
  /// Of the entry's process; 0 if not known.
  std::uint64_t incarnation = 0;
  RecordState state = RecordState::kClaimed;
  /// Digest of method, target and body; tells another request with the same
  /// key.
  std::string fingerprint;
  WallTime claimed_at;
  std::optional<RecordedAnswer> answer;
};

[[nodiscard]] auto EncodeRecord(const IdempotencyRecord& record) -> std::string;

/// No value if the text is not a record.
[[nodiscard]] auto DecodeRecord(std::string_view text)
    -> std::optional<IdempotencyRecord>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_IDEMPOTENCY_RECORD_H_
