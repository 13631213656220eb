#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "fireflythread/base/random.h"
#include "fireflythread/lease/lease.h"
#include "fireflythread/lease/lease_record.h"
#include "fireflythread/lease/lease_settings.h"
#include "fireflythread/lease/lease_state.h"

namespace fireflythread {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kEntries = 4;
constexpr std::uint64_t kFirstSeed = 20261204;

/// Defences that a run leaves out, to show that their absence is detected.
struct LeasePolicy {
  bool no_fencing = false;
  bool no_token_check = false;
  bool no_step_down = false;
};

/// A table in memory with conditional transactions.
struct FakeTable {
  auto Commit(const Transaction& transaction) -> TransactionOutcome {
    for (const Condition& condition : transaction.conditions) {
      const auto row = this->rows.find(condition.key);
      const std::uint64_t version =
          row == this->rows.end() ? 0 : row->second.version;
      if (version != condition.version) {
        return Conflict{};
      }
    }
    ++this->revision;
    for (const Write& write : transaction.writes) {
      this->rows[write.key] = {write.table, write.key, this->revision,
                               *write.value};
    }
    return Committed{this->revision};
  }

  auto Read(const std::string& key) const -> std::optional<Row> {
    const auto row = this->rows.find(key);
    return row == this->rows.end() ? std::nullopt : std::optional(row->second);
  }

  std::map<std::string, Row> rows;
  std::uint64_t revision = 0;
};

/// A transaction or a read on its way to the table, and its answer on its way
/// back.
struct Call {
  std::size_t entry = 0;
  TimePoint sent_at;
  TimePoint arrives_at;
  TimePoint answers_at;
  bool answer_lost = false;
  bool arrived = false;
  std::optional<Transaction> transaction;
  TransactionOutcome outcome;
  std::optional<Row> lease;
  std::optional<Row> epoch;
};

/// A controller's write that passed its check and is still on its way.
struct ControllerWrite {
  std::uint64_t token = 0;
  std::optional<Condition> condition;
  TimePoint arrives_at;
};

/// Drives the lease of several entries through the events of model/lease.pml.
struct LeaseSimulation {
  LeaseSimulation(std::uint64_t seed, LeasePolicy run_policy)
      : random(seed), policy(run_policy) {
    for (std::size_t index = 0; index < kEntries; ++index) {
      this->states[index].self = EntryId("e" + std::to_string(index));
      this->states[index].incarnation = this->random();
    }
  }

  auto Below(int limit_ms) -> Duration {
    return milliseconds(this->random() % static_cast<unsigned>(limit_ms));
  }
  auto Chance(int percent) -> bool {
    return static_cast<int>(this->random() % 100) < percent;
  }

  auto Run(int steps) -> void {
    for (int step = 0; step < steps && this->violation.empty(); ++step) {
      this->now += milliseconds(20);
      this->ArriveCalls();
      this->ArriveWrites();
      for (std::size_t index = 0; index < kEntries; ++index) {
        if (this->frozen_until[index] <= this->now) {
          this->StepEntry(index);
        }
      }
      this->CheckHolders();
    }
  }

  auto StepEntry(std::size_t index) -> void {
    LeaseState& state = this->states[index];
    this->AnswerCalls(index);
    this->Carry(index, StepLease(state, this->settings, this->now));
    const bool acts = this->policy.no_step_down ? state.held.has_value()
                                                : HoldsLease(state, this->now);
    if (acts && this->Chance(10)) {
      this->writes.push_back(
          {.token = state.held->epoch,
           .condition = FenceCondition(state, this->now),
           .arrives_at =
               this->now + this->Below(this->Chance(10) ? 9000 : 50)});
    }
    if (this->Chance(1)) {
      this->frozen_until[index] = this->now + this->Below(8000);
    } else if (this->Chance(1) && this->Chance(20)) {
      state = LeaseState();
      state.self = EntryId("e" + std::to_string(index));
      state.incarnation = this->random();
    }
  }

  auto Carry(std::size_t index, const LeaseStep& step) -> void {
    if (step.transaction) {
      this->Send(index, step.transaction);
    }
    if (step.read_rows) {
      this->Send(index, std::nullopt);
    }
  }

  auto Send(std::size_t index, std::optional<Transaction> transaction) -> void {
    Call call;
    call.entry = index;
    call.sent_at = this->now;
    call.arrives_at = this->now + this->Below(this->Chance(5) ? 4000 : 30);
    call.answers_at = std::max(call.arrives_at, this->now) + this->Below(30);
    call.answer_lost = this->Chance(10);
    if (call.answers_at > this->now + milliseconds(500)) {
      // The client gives up; the transaction may still arrive.
      call.answer_lost = true;
    }
    if (call.answer_lost) {
      call.answers_at = this->now + milliseconds(500);
    }
    call.transaction = std::move(transaction);
    this->calls.push_back(std::move(call));
  }

  auto ArriveCalls() -> void {
    for (Call& call : this->calls) {
      if (call.arrived || call.arrives_at > this->now) {
        continue;
      }
      call.arrived = true;
      if (call.transaction) {
        call.outcome = this->table.Commit(*call.transaction);
      } else {
        call.lease = this->table.Read(kLeaseKey);
        call.epoch = this->table.Read(kEpochKey);
      }
    }
  }

  auto AnswerCalls(std::size_t index) -> void {
    std::vector<Call> answered;
    for (Call& call : this->calls) {
      if (call.entry == index && call.answers_at <= this->now) {
        answered.push_back(call);
        call.answers_at = TimePoint::max();
      }
    }
    std::erase_if(this->calls, [](const Call& call) {
      return call.arrived && call.answers_at == TimePoint::max();
    });
    LeaseState& state = this->states[index];
    for (const Call& call : answered) {
      if (call.transaction) {
        const TransactionOutcome outcome =
            call.answer_lost ? TransactionOutcome(CommitUnknown{})
                             : call.outcome;
        this->Carry(index, TakeLeaseOutcome(state, this->settings,
                                            call.transaction->nonce, outcome,
                                            this->now));
      } else if (!call.answer_lost) {
        this->Carry(index, TakeLeaseRows(state, this->settings, call.lease,
                                         call.epoch, call.sent_at, this->now));
      }
    }
  }

  auto ArriveWrites() -> void {
    for (const ControllerWrite& write : this->writes) {
      if (write.arrives_at > this->now) {
        continue;
      }
      const auto row = this->table.Read(kEpochKey);
      const bool fence_holds =
          write.condition && row && row->version == write.condition->version;
      if ((fence_holds || this->policy.no_fencing) && row &&
          row->value != std::to_string(write.token)) {
        this->violation = "a write took effect under an old epoch";
      }
      if (write.token < this->highest_token && this->policy.no_token_check) {
        this->violation = "a command was carried out with an old token";
      }
      this->highest_token = std::max(this->highest_token, write.token);
      this->effective += fence_holds ? 1 : 0;
    }
    std::erase_if(this->writes, [&](const ControllerWrite& write) {
      return write.arrives_at <= this->now;
    });
  }

  /// A frozen entry that never looked at its clock again holds nothing.
  auto CheckHolders() -> void {
    int holders = 0;
    for (std::size_t index = 0; index < kEntries; ++index) {
      holders += this->policy.no_step_down
                     ? (this->states[index].held ? 1 : 0)
                     : (HoldsLease(this->states[index], this->now) ? 1 : 0);
    }
    if (holders > 1) {
      this->violation = "two entries hold the lease";
    }
  }

  Random random;
  LeasePolicy policy;
  LeaseSettings settings;
  TimePoint now{std::chrono::seconds(1)};
  FakeTable table;
  LeaseState states[kEntries];
  TimePoint frozen_until[kEntries];
  std::vector<Call> calls;
  std::vector<ControllerWrite> writes;
  std::uint64_t highest_token = 0;
  int effective = 0;
  std::string violation;
};

auto FindViolation(LeasePolicy policy) -> std::string {
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + 100; ++seed) {
    LeaseSimulation simulation(seed, policy);
    simulation.Run(5000);
    if (!simulation.violation.empty()) {
      return simulation.violation;
    }
  }
  return {};
}

}  // namespace

// Guards against two controllers, and against writes of an overtaken one, under
// freezes, restarts, lost answers and late writes. The events are those of
// model/lease.pml.
TEST_CASE("at most one entry holds the lease under random schedules") {
  int effective = 0;
  std::uint64_t epochs = 0;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + 60; ++seed) {
    LeaseSimulation simulation(seed, {});
    simulation.Run(5000);
    INFO("seed " << seed);
    REQUIRE(simulation.violation.empty());
    effective += simulation.effective;
    epochs += simulation.highest_token;
  }
  // The schedules reach what they are about: work and takeovers.
  CHECK(effective > 1000);
  CHECK(epochs > 300);
}

// Guards against schedules too tame to notice a missing defence.
TEST_CASE("each missing defence of the lease is detected") {
  LeasePolicy policy;
  SECTION("writes without the epoch condition") {
    policy.no_fencing = true;
  }
  SECTION("commands without the token check") {
    policy.no_token_check = true;
  }
  SECTION("a holder that does not look at its clock") {
    policy.no_step_down = true;
  }
  CHECK_FALSE(FindViolation(policy).empty());
}

}  // namespace fireflythread
