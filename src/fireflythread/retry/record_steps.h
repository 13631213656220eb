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

/// Table of the idempotency records; see RecordKey() for the keys.
inline constexpr const char* kRequestTable = "request";

/// Returns the key of a request's row: the service and the idempotency key.
[[nodiscard]] auto RecordKey(const ServiceName& service, std::string_view key)
    -> std::string;

/// This entry holds the claim at this row version and may send the request.
struct ClaimHeld {
  std::uint64_t version = 0;
};

/// The key already has a record, which determines the answer to the caller.
struct ClaimTaken {
  IdempotencyRecord record;
};

/// The request has no record or was not run: the row can be claimed at
/// `version`; 0 if it is absent.
struct ClaimAvailable {
  std::uint64_t version = 0;
};

/// The claim is known not to be recorded, so the caller is told "not run".
struct ClaimNotRecorded {
  std::string reason;
};

/// It is not known whether the claim was recorded: the row has to be read.
struct ClaimUncertain {
  std::string reason;
};

/// What an entry has to do next for a claim.
using ClaimStep = std::variant<ClaimHeld,
                               ClaimTaken,
                               ClaimAvailable,
                               ClaimNotRecorded,
                               ClaimUncertain>;

/// Returns a transaction that writes `record` if the row has exactly this
/// version; version 0 means that the row must be absent.
[[nodiscard]] auto RecordTransaction(const std::string& row_key,
                                     const IdempotencyRecord& record,
                                     std::uint64_t version) -> Transaction;

/// Returns the next step of a claim after the outcome of its transaction.
[[nodiscard]] auto InterpretClaimOutcome(const TransactionOutcome& outcome,
                                         const IdempotencyRecord& claim)
    -> ClaimStep;

/// Returns the next step of a claim of unknown outcome after its row was read.
/// If the row is absent the claim stays uncertain, because the write may still
/// take effect.
[[nodiscard]] auto InterpretReadBack(const std::optional<Row>& row,
                                     const IdempotencyRecord& claim)
    -> ClaimStep;

/// Returns the next step after the row was read while a repeated request waits
/// for the first one. An absent row may be claimed: its record was removed.
[[nodiscard]] auto InterpretWaitingRead(const std::optional<Row>& row,
                                        const IdempotencyRecord& claim)
    -> ClaimStep;

/// Returns the transaction that turns a claim of unknown outcome into "not
/// run". It overwrites the claim if that took effect; otherwise it creates the
/// row, so that the claim conflicts if it takes effect later. Returns no value
/// if the row is not a claim with this nonce, because nothing has to be done
/// then. Only for a request that was never sent.
[[nodiscard]] auto CleanUpTransaction(const std::string& row_key,
                                      const std::optional<Row>& row,
                                      const IdempotencyRecord& claim)
    -> std::optional<Transaction>;

/// The answer to a caller that repeats a recorded request. kRecorded: the
/// recorded answer. kKeyReused: the key belongs to a different request.
enum class RepeatAnswer : std::uint8_t {
  kRecorded,
  kInProgress,
  kOutcomeUnknown,
  kKeyReused
};

/// Chooses the answer to a repeated request from the record of the first one. A
/// claim older than the maximum request time plus a margin for clock
/// differences and queueing is no longer in progress: the entry that held it is
/// gone.
[[nodiscard]] auto ChooseRepeatAnswer(const IdempotencyRecord& record,
                                      std::string_view fingerprint,
                                      WallTime now,
                                      Duration max_request_time)
    -> RepeatAnswer;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETRY_RECORD_STEPS_H_
