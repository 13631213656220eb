#ifndef FIREFLYTHREAD_RETRY_RECORD_STEPS_H_
#define FIREFLYTHREAD_RETRY_RECORD_STEPS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/transaction_outcome.h"
#include "fireflythread/retry/idempotency_record.h"

namespace fireflythread {

inline constexpr const char* kRequestTable = "request";

/// The key of a request's row.
[[nodiscard]] auto RecordKey(const ServiceName& service, std::string_view key)
    -> std::string;

/// This entry holds the claim at this row version and may send the request.
struct ClaimHeld {
  std::uint64_t version = 0;
};

/// The key has a record. It decides what the caller is told.
struct ClaimTaken {
  IdempotencyRecord record;
};

/// The record says that the request was not run: claim the row at `version`.
struct ClaimAvailable {
  std::uint64_t version = 0;
};

/// Nothing was recorded, for certain: "not run".
struct ClaimNotRecorded {
  std::string reason;
};

/// Whether the claim was recorded is not known: read the row.
struct ClaimUncertain {
  std::string reason;
};

using ClaimStep = std::variant<ClaimHeld,
                               ClaimTaken,
                               ClaimAvailable,
                               ClaimNotRecorded,
                               ClaimUncertain>;

/// Writes `record` if the row has exactly this version; 0 if it is absent.
[[nodiscard]] auto RecordTransaction(const std::string& row_key,
                                     const IdempotencyRecord& record,
                                     std::uint64_t version) -> Transaction;

/// What follows from the outcome of a claim's transaction.
[[nodiscard]] auto InterpretClaimOutcome(const TransactionOutcome& outcome,
                                         const IdempotencyRecord& claim)
    -> ClaimStep;

/// What follows from reading the row after a claim of unknown outcome. An
/// absent row stays uncertain, since the write may still arrive.
[[nodiscard]] auto InterpretReadBack(const std::optional<Row>& row,
                                     const IdempotencyRecord& claim)
    -> ClaimStep;

/// What follows from reading the row while a repeat waits for the first
/// request. An absent row may be claimed: its record was removed.
[[nodiscard]] auto InterpretWaitingRead(const std::optional<Row>& row,
                                        const IdempotencyRecord& claim)
    -> ClaimStep;

/// The write that makes a claim of unknown outcome end as "not run": over the
/// row if the claim arrived, or in its place, which makes a late arrival
/// conflict. None if the row is no claim of this nonce, and nothing is left to
/// do. Only for a request that was never sent.
[[nodiscard]] auto CleanUpTransaction(const std::string& row_key,
                                      const std::optional<Row>& row,
                                      const IdempotencyRecord& claim)
    -> std::optional<Transaction>;

/// What a caller is told who repeats a recorded request.
enum class RepeatAnswer : std::uint8_t {
  kRecorded,
  kInProgress,
  kOutcomeUnknown,
  kKeyReused
};

/// A claim older than the longest request time, and a margin for the clocks
/// of two entries, is no longer in progress: the entry that held it is gone.
[[nodiscard]] auto ChooseRepeatAnswer(const IdempotencyRecord& record,
                                      std::string_view fingerprint,
                                      WallTime now,
                                      Duration max_request_time)
    -> RepeatAnswer;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_RECORD_STEPS_H_
