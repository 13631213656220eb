#include "fireflythread/retry/record_steps.h"

#include <utility>

namespace fireflythread {

namespace {

/// Allowance for the difference between two entries' wall clocks plus the time
/// that a claimed request may wait in the queue before it is sent.
constexpr Duration kClaimAgeMargin = std::chrono::seconds(35);

/// Returns the next step of a claim when the key already has a row.
auto InterpretRow(const Row& row, const IdempotencyRecord& claim) -> ClaimStep {
  auto record = DecodeRecord(row.value);
  if (!record) {
    // The row is unreadable, so it has to be assumed that the request has run.
    IdempotencyRecord unreadable;
    unreadable.state = RecordState::kUnknown;
    unreadable.fingerprint = claim.fingerprint;
    return ClaimTaken{std::move(unreadable)};
  }
  if (record->nonce == claim.nonce && record->state == RecordState::kClaimed) {
    return ClaimHeld{row.version};
  }
  if (record->state == RecordState::kNotRun) {
    return ClaimAvailable{row.version};
  }
  return ClaimTaken{std::move(*record)};
}

}  // namespace

auto RecordKey(const ServiceName& service, std::string_view key)
    -> std::string {
  return service.value + "/" + std::string(key);
}

auto RecordTransaction(const std::string& row_key,
                       const IdempotencyRecord& record,
                       std::uint64_t version) -> Transaction {
  return {record.nonce,
          {{kRequestTable, row_key, version}},
          {{kRequestTable, row_key, EncodeRecord(record)}}};
}

auto InterpretClaimOutcome(const TransactionOutcome& outcome,
                           const IdempotencyRecord& claim) -> ClaimStep {
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    return ClaimHeld{committed->revision};
  }
  if (const auto* not_committed = std::get_if<NotCommitted>(&outcome)) {
    return ClaimNotRecorded{not_committed->reason};
  }
  if (const auto* unknown = std::get_if<CommitUnknown>(&outcome)) {
    return ClaimUncertain{unknown->reason};
  }
  const auto& conflict = std::get<Conflict>(outcome);
  if (conflict.current.empty()) {
    return ClaimNotRecorded{"the store reported a conflict without the row"};
  }
  if (conflict.current.front().version == 0) {
    return ClaimAvailable{0};
  }
  return InterpretRow(conflict.current.front(), claim);
}

auto InterpretReadBack(const std::optional<Row>& row,
                       const IdempotencyRecord& claim) -> ClaimStep {
  if (!row) {
    return ClaimUncertain{"the record does not exist yet"};
  }
  return InterpretRow(*row, claim);
}

auto InterpretWaitingRead(const std::optional<Row>& row,
                          const IdempotencyRecord& claim) -> ClaimStep {
  return row ? InterpretRow(*row, claim) : ClaimStep{ClaimAvailable{0}};
}

auto CleanUpTransaction(const std::string& row_key,
                        const std::optional<Row>& row,
                        const IdempotencyRecord& claim)
    -> std::optional<Transaction> {
  IdempotencyRecord not_run = claim;
  not_run.state = RecordState::kNotRun;
  if (!row) {
    return RecordTransaction(row_key, not_run, 0);
  }
  const auto record = DecodeRecord(row->value);
  if (!record || record->nonce != claim.nonce ||
      record->state != RecordState::kClaimed) {
    return std::nullopt;
  }
  return RecordTransaction(row_key, not_run, row->version);
}

auto ChooseRepeatAnswer(const IdempotencyRecord& record,
                        std::string_view fingerprint,
                        WallTime now,
                        Duration max_request_time) -> RepeatAnswer {
  if (record.fingerprint != fingerprint) {
    return RepeatAnswer::kKeyReused;
  }
  if (record.state == RecordState::kAnswered && record.answer) {
    return RepeatAnswer::kRecorded;
  }
  // A request in state kNotRun may be claimed again at any time, so it is
  // reported as in progress.
  const bool in_progress =
      record.state == RecordState::kNotRun ||
      (record.state == RecordState::kClaimed &&
       now < record.claimed_at + max_request_time + kClaimAgeMargin);
  return in_progress ? RepeatAnswer::kInProgress
                     : RepeatAnswer::kOutcomeUnknown;
}

}  // namespace fireflythread
