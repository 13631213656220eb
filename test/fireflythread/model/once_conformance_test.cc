#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/base/random.h"
#include "fireflythread/retry/record_steps.h"

namespace fireflythread {

namespace {

constexpr std::uint64_t kFirstSeed = 20261204;
constexpr const char* kKey = "orders/k";
constexpr std::size_t kAttempts = 5;

/// Safeguards that a run omits, to check that the test detects their absence.
struct OncePolicy {
  bool send_before_record = false;
  bool no_record_condition = false;
  bool send_on_lost_answer = false;
  bool retry_after_unknown = false;
  bool mark_without_condition = false;
};

enum class Phase { kClaiming, kWaiting, kHeld, kCleaning, kEnded };

/// One attempt of a caller to run the request through an entry.
struct Attempt {
  IdempotencyRecord claim;
  Phase phase = Phase::kClaiming;
  std::uint64_t version = 0;
  int sends = 0;
  bool ran = false;
  bool told_not_run = false;
};

/// A transaction that was sent but has not taken effect. It may take effect
/// after its sender gave up.
struct PendingTransaction {
  std::size_t attempt = 0;
  Transaction transaction;
  bool answer_lost = false;
  bool is_claim = false;
};

/// Drives the idempotency record through the events of model/once.pml. In each
/// step one attempt proceeds or one transaction reaches the store.
struct OnceSimulation {
  OnceSimulation(std::uint64_t seed, OncePolicy run_policy)
      : random(seed), policy(run_policy) {}

  auto Chance(int percent) -> bool {
    return static_cast<int>(this->random() % 100) < percent;
  }

  auto Run(int steps) -> void {
    for (int step = 0; step < steps && this->violation.empty(); ++step) {
      if (this->attempts.size() < kAttempts && this->Chance(10)) {
        this->Begin();
      } else if (!this->pending_transactions.empty() && this->Chance(50)) {
        this->Arrive(this->random() % this->pending_transactions.size());
      } else if (!this->attempts.empty()) {
        this->Act(this->random() % this->attempts.size());
      }
    }
  }

  auto Begin() -> void {
    Attempt attempt;
    attempt.claim.nonce = "n" + std::to_string(this->attempts.size());
    this->attempts.push_back(attempt);
    if (this->policy.send_before_record) {
      this->RunRequest(this->attempts.back());
    }
  }

  auto Send(std::size_t index, Transaction transaction, bool is_claim) -> void {
    this->pending_transactions.push_back({.attempt = index,
                                          .transaction = std::move(transaction),
                                          .answer_lost = this->Chance(30),
                                          .is_claim = is_claim});
    // The client gives up, but the transaction may still take effect.
    if (this->pending_transactions.back().answer_lost && is_claim) {
      this->ApplyClaimStep(
          index,
          InterpretClaimOutcome(CommitUnknown{}, this->attempts[index].claim));
    }
  }

  auto Act(std::size_t index) -> void {
    Attempt& attempt = this->attempts[index];
    if (attempt.phase != Phase::kCleaning && this->Chance(5)) {
      attempt.phase = Phase::kEnded;  // The entry dies.
    }
    switch (attempt.phase) {
      case Phase::kClaiming:
        attempt.phase = Phase::kWaiting;
        this->Send(index,
                   RecordTransaction(kKey, attempt.claim, attempt.version),
                   true);
        break;
      case Phase::kHeld:
        this->SendRequest(index);
        break;
      case Phase::kCleaning:
        this->CleanUp(index);
        break;
      case Phase::kWaiting:
      case Phase::kEnded:
        break;
    }
  }

  auto ApplyClaimStep(std::size_t index, const ClaimStep& step) -> void {
    Attempt& attempt = this->attempts[index];
    if (const auto* held = std::get_if<ClaimHeld>(&step)) {
      attempt.version = held->version;
      attempt.phase = Phase::kHeld;
    } else if (const auto* available = std::get_if<ClaimAvailable>(&step)) {
      attempt.version = available->version;
      attempt.phase = Phase::kClaiming;
    } else if (std::holds_alternative<ClaimTaken>(step)) {
      attempt.phase = Phase::kEnded;
    } else if (std::holds_alternative<ClaimNotRecorded>(step)) {
      this->TellNotRun(attempt);
      attempt.phase = Phase::kEnded;
    } else {
      this->ReadBack(index);
    }
  }

  auto ReadBack(std::size_t index) -> void {
    Attempt& attempt = this->attempts[index];
    if (this->policy.send_on_lost_answer) {
      attempt.phase = Phase::kHeld;
      return;
    }
    if (this->Chance(70)) {
      const ClaimStep step = InterpretReadBack(this->row, attempt.claim);
      if (!std::holds_alternative<ClaimUncertain>(step)) {
        this->ApplyClaimStep(index, step);
        return;
      }
    }
    this->TellNotRun(attempt);
    attempt.phase = Phase::kCleaning;
  }

  auto CleanUp(std::size_t index) -> void {
    Attempt& attempt = this->attempts[index];
    auto transaction = CleanUpTransaction(kKey, this->row, attempt.claim);
    if (!transaction) {
      attempt.phase = Phase::kEnded;
      return;
    }
    // The transaction may be sent several times while it is not answered.
    if (this->policy.mark_without_condition) {
      transaction->conditions.clear();
    }
    this->Send(index, std::move(*transaction), false);
    attempt.phase = this->Chance(40) ? Phase::kEnded : Phase::kCleaning;
  }

  auto SendRequest(std::size_t index) -> void {
    Attempt& attempt = this->attempts[index];
    ++attempt.sends;
    if (this->Chance(40)) {
      // The attempt was not sent or was refused. The first time the request is
      // sent again; the second time the caller is told "not run".
      if (attempt.sends >= 2) {
        this->TellNotRun(attempt);
        this->Finish(index, RecordState::kNotRun);
      }
      return;
    }
    this->RunRequest(attempt);
    const bool answered = this->Chance(60);
    if (!answered && this->policy.retry_after_unknown && attempt.sends < 2) {
      return;
    }
    this->Finish(index,
                 answered ? RecordState::kAnswered : RecordState::kUnknown);
  }

  auto Finish(std::size_t index, RecordState state) -> void {
    Attempt& attempt = this->attempts[index];
    IdempotencyRecord record = attempt.claim;
    record.state = state;
    this->Send(index, RecordTransaction(kKey, record, attempt.version), false);
    attempt.phase = Phase::kEnded;
  }

  auto Arrive(std::size_t position) -> void {
    const PendingTransaction pending = this->pending_transactions[position];
    this->pending_transactions.erase(this->pending_transactions.begin() +
                                     static_cast<std::ptrdiff_t>(position));
    const std::uint64_t version = this->row ? this->row->version : 0;
    const bool holds = pending.transaction.conditions.empty() ||
                       pending.transaction.conditions[0].version == version ||
                       (this->policy.no_record_condition && pending.is_claim);
    TransactionOutcome outcome;
    if (holds && !this->Chance(10)) {
      ++this->revision;
      this->row = Row{kRequestTable, kKey, this->revision,
                      *pending.transaction.writes[0].value};
      outcome = Committed{this->revision};
    } else if (holds) {
      outcome = NotCommitted{"overloaded"};
    } else {
      outcome = Conflict{
          {this->row.value_or(Row{kRequestTable, kKey, 0, std::string()})}};
    }
    Attempt& attempt = this->attempts[pending.attempt];
    if (pending.is_claim && !pending.answer_lost &&
        attempt.phase == Phase::kWaiting) {
      this->ApplyClaimStep(pending.attempt,
                           InterpretClaimOutcome(outcome, attempt.claim));
    }
  }

  auto RunRequest(Attempt& attempt) -> void {
    attempt.ran = true;
    ++this->runs;
    if (this->runs > 1) {
      this->violation = "the request ran twice";
    }
    if (attempt.told_not_run) {
      this->violation = "ran after the caller was told that it did not";
    }
  }

  auto TellNotRun(Attempt& attempt) -> void {
    attempt.told_not_run = true;
    ++this->not_run;
    if (attempt.ran) {
      this->violation = "the caller was told not run after it ran";
    }
  }

  Random random;
  OncePolicy policy;
  std::vector<Attempt> attempts;
  std::vector<PendingTransaction> pending_transactions;
  std::optional<Row> row;
  std::uint64_t revision = 0;
  int runs = 0;
  int not_run = 0;
  std::string violation;
};

auto FindViolation(OncePolicy policy) -> std::string {
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + 3000; ++seed) {
    OnceSimulation simulation(seed, policy);
    simulation.Run(200);
    if (!simulation.violation.empty()) {
      return simulation.violation;
    }
  }
  return {};
}

}  // namespace

// Guards against a keyed request that runs twice, or runs after its caller was
// told "not run", when the caller repeats it through other entries, the store's
// answers are lost, writes take effect late and entries die. The events are
// those of model/once.pml.
TEST_CASE("a keyed request runs at most once under random schedules") {
  int runs = 0;
  int run_after_not_run = 0;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + 3000; ++seed) {
    OnceSimulation simulation(seed, {});
    simulation.Run(200);
    INFO("seed " << seed);
    REQUIRE(simulation.violation.empty());
    runs += simulation.runs;
    run_after_not_run += simulation.runs == 1 && simulation.not_run > 0 ? 1 : 0;
  }
  // Checks that the schedules reach the interesting states.
  CHECK(runs > 1000);
  CHECK(run_after_not_run > 100);
}

// Guards against random schedules that do not reach the states in which a
// missing safeguard shows.
TEST_CASE("each missing safeguard of keyed requests is detected") {
  OncePolicy policy;
  SECTION("sent before the key is recorded") {
    policy.send_before_record = true;
  }
  SECTION("claims without the version condition") {
    policy.no_record_condition = true;
  }
  SECTION("sent although the claim's answer was lost") {
    policy.send_on_lost_answer = true;
  }
  SECTION("sent again after an unknown outcome") {
    policy.retry_after_unknown = true;
  }
  SECTION("marked not run without the version condition") {
    policy.mark_without_condition = true;
  }
  CHECK_FALSE(FindViolation(policy).empty());
}

}  // namespace fireflythread
