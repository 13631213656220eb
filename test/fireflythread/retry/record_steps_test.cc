#include "fireflythread/retry/record_steps.h"

#include <catch2/catch.hpp>

namespace fireflythread {

namespace {

constexpr Duration kMaxRequestTime = std::chrono::seconds(30);
const WallTime kNow{std::chrono::hours(400000)};

auto Claim(const std::string& nonce) -> IdempotencyRecord {
  IdempotencyRecord record;
  record.nonce = nonce;
  record.entry = EntryId("entry-1");
  record.fingerprint = "print";
  record.claimed_at = kNow;
  return record;
}

auto RowOf(const IdempotencyRecord& record, std::uint64_t version) -> Row {
  return {kRequestTable, "orders/k", version, EncodeRecord(record)};
}

}  // namespace

// Guards against a repeat that gets a different answer than the first request,
// e.g. because JSON strings cannot hold arbitrary bytes.
TEST_CASE("a record keeps every byte of the answer") {
  IdempotencyRecord record = Claim("n");
  record.state = RecordState::kAnswered;
  record.answer = RecordedAnswer{201, {{"X-Sheet", "\xe4"}}, "", "object"};
  for (int byte = 0; byte < 256; ++byte) {
    record.answer->body.push_back(static_cast<char>(byte));
  }
  const auto decoded = DecodeRecord(EncodeRecord(record));
  REQUIRE(decoded.has_value());
  CHECK(decoded->state == RecordState::kAnswered);
  CHECK(decoded->claimed_at == record.claimed_at);
  CHECK(decoded->answer == record.answer);
  CHECK_FALSE(DecodeRecord("{\"nonce\":1}").has_value());
  CHECK_FALSE(DecodeRecord("x").has_value());
}

// Guards against sending a request before its key is recorded: a repeat through
// another entry would run it a second time.
TEST_CASE("a claim is held only when it is known to be recorded") {
  const IdempotencyRecord own = Claim("own");
  const auto interpret = [&](const TransactionOutcome& outcome) {
    return InterpretClaimOutcome(outcome, own);
  };
  CHECK(std::get<ClaimHeld>(interpret(Committed{7})).version == 7);
  CHECK(std::holds_alternative<ClaimNotRecorded>(
      interpret(NotCommitted{"down"})));
  CHECK(
      std::holds_alternative<ClaimUncertain>(interpret(CommitUnknown{"lost"})));
  CHECK(std::holds_alternative<ClaimTaken>(
      interpret(Conflict{{RowOf(Claim("other"), 5)}})));
  CHECK(std::get<ClaimHeld>(interpret(Conflict{{RowOf(own, 5)}})).version == 5);
  IdempotencyRecord not_run = Claim("other");
  not_run.state = RecordState::kNotRun;
  CHECK(std::get<ClaimAvailable>(interpret(Conflict{{RowOf(not_run, 6)}}))
            .version == 6);
  const auto unreadable =
      interpret(Conflict{{Row{kRequestTable, "orders/k", 4, "?"}}});
  CHECK(std::get<ClaimTaken>(unreadable).record.state == RecordState::kUnknown);

  CHECK(std::holds_alternative<ClaimUncertain>(
      InterpretReadBack(std::nullopt, own)));
  CHECK(std::holds_alternative<ClaimAvailable>(InterpretWaitingRead({}, own)));
  CHECK(std::holds_alternative<ClaimTaken>(
      InterpretWaitingRead(RowOf(Claim("other"), 5), own)));
  CHECK(
      std::holds_alternative<ClaimHeld>(InterpretReadBack(RowOf(own, 9), own)));
}

// Guards against a claim that takes effect after its caller was told "not run",
// and against overwriting the record of another claim.
TEST_CASE("a claim of unknown outcome is turned into not run") {
  const IdempotencyRecord own = Claim("own");
  const auto absent = CleanUpTransaction("orders/k", std::nullopt, own);
  REQUIRE(absent.has_value());
  CHECK(absent->conditions.front().version == 0);
  const auto arrived = CleanUpTransaction("orders/k", RowOf(own, 8), own);
  REQUIRE(arrived.has_value());
  CHECK(arrived->conditions.front().version == 8);
  CHECK(DecodeRecord(*arrived->writes.front().value)->state ==
        RecordState::kNotRun);
  CHECK_FALSE(CleanUpTransaction("orders/k", RowOf(Claim("other"), 8), own)
                  .has_value());
}

// Guards against returning the answer of one request for a different request
// with the same key, and against telling a caller "in progress" although the
// entry that held the claim is gone.
TEST_CASE("a repeat is answered according to the record's state") {
  IdempotencyRecord record = Claim("n");
  const auto interpret = [&](const std::string& fingerprint, Duration later) {
    return ChooseRepeatAnswer(
        record, fingerprint,
        kNow + std::chrono::duration_cast<WallTime::duration>(later),
        kMaxRequestTime);
  };
  CHECK(interpret("print", Duration(0)) == RepeatAnswer::kInProgress);
  CHECK(interpret("print", std::chrono::minutes(2)) ==
        RepeatAnswer::kOutcomeUnknown);
  CHECK(interpret("another", Duration(0)) == RepeatAnswer::kKeyReused);
  record.state = RecordState::kUnknown;
  CHECK(interpret("print", Duration(0)) == RepeatAnswer::kOutcomeUnknown);
  record.state = RecordState::kAnswered;
  record.answer = RecordedAnswer{200, {}, "x", ""};
  CHECK(interpret("print", std::chrono::hours(48)) == RepeatAnswer::kRecorded);
}

}  // namespace fireflythread
