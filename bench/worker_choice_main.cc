// Compares four ways of choosing a worker, with 8 entries that do not see each
// other's requests: under even load, under load that arrives mostly at one
// entry, with load reports that are old, and with a worker that fails fast.
// Everything is computed on virtual time from a fixed seed.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "bench/common/csv_file.h"
#include "bench/common/virtual_queue.h"
#include "fireflythread/admission/service_time.h"
#include "fireflythread/base/random.h"
#include "fireflythread/retry/retry_budget.h"
#include "fireflythread/retry/retry_policy.h"
#include "fireflythread/routing/pool_health.h"
#include "fireflythread/routing/slot_table.h"
#include "fireflythread/routing/worker_choice.h"

DEFINE_string(csv, "", "file for the rows measure,case,baseline,result,...");
DEFINE_uint64(seed, 20261204, "seed of the random source");
DEFINE_int32(seconds, 60, "virtual time of each run (1 to 3600)");

namespace fireflythread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 8;
constexpr int kWorkers = 10;
constexpr int kSlots = 8;
constexpr Duration kMeanService = milliseconds(40);
constexpr Duration kDeadline = milliseconds(500);
constexpr Duration kHop = milliseconds(1);
constexpr Duration kLongest = seconds(30);
constexpr Duration kLoanTime = milliseconds(250);
constexpr Duration kAskInterval = milliseconds(100);
/// After the last arrival. Every request ends: what has not been answered
/// within kDeadline is not in time.
constexpr Duration kDrainTime = seconds(5);
/// Of what the pool can serve.
constexpr double kLoad = 0.7;

struct Case {
  std::string name;
  /// Part of the requests that arrive at the first entry.
  double first_entry = 1.0 / kEntries;
  /// Age of the load reports.
  Duration report_age{0};
  /// The first worker fails everything at once.
  bool failing = false;
  /// A failed attempt is an answer, status 500, which the caller gets; an
  /// attempt that ends without one may be repeated.
  bool answers_errors = false;
};

struct Result {
  int offered = 0;
  int in_time = 0;
  int refused = 0;
  int failed = 0;
  int attempts = 0;
  std::vector<double> delays_ms;
};

struct Pending {
  int entry = 0;
  TimePoint arrived;
  int attempts = 0;
  std::set<int> failed_on;
};

struct SimWorker {
  VmId vm;
  int running = 0;
  /// Counts over time, so that an old one can be reported.
  std::deque<std::pair<TimePoint, int>> history;
};

struct SimEntry {
  EntryId id;
  std::unique_ptr<SlotTable> slots;
  PoolHealth health;
  RetryBudget budget;
  ServiceTime observed;
  std::array<int, kWorkers> local{};
  std::deque<Pending> queue;
};

class ChoiceRun {
 public:
  ChoiceRun(ChoiceMethod choice_method, Case run_case)
      : method(choice_method), config(std::move(run_case)), random(FLAGS_seed) {
    std::vector<EntryId> members;
    members.reserve(kEntries);
    for (int i = 0; i < kEntries; ++i) {
      members.emplace_back(fmt::format("entry-{}", i));
    }
    std::map<VmId, int> slots;
    std::set<VmId> vms;
    for (int i = 0; i < kWorkers; ++i) {
      this->workers.at(i).vm = VmId(fmt::format("vm-{}", i));
      slots[this->workers.at(i).vm] = kSlots;
      vms.insert(this->workers.at(i).vm);
    }
    for (int i = 0; i < kEntries; ++i) {
      SimEntry& entry = this->entries.at(i);
      entry.id = members.at(i);
      entry.slots = std::make_unique<SlotTable>(entry.id, members, kLongest);
      entry.slots->SetWorkers(slots);
      entry.health.SetWorkers(vms);
    }
  }

  auto Run() -> Result {
    this->PlanArrival();
    this->PlanTick();
    const TimePoint start = this->events.Now();
    this->last_arrival = start + seconds(FLAGS_seconds);
    this->events.RunUntil(this->last_arrival + kDrainTime);
    return this->result;
  }

 private:
  auto PlanArrival() -> void {
    const double rate = kLoad * kWorkers * kSlots /
                        std::chrono::duration<double>(kMeanService).count();
    this->events.RunAfter(this->Draw(1 / rate), [this] {
      if (this->events.Now() > this->last_arrival) {
        return;
      }
      ++this->result.offered;
      std::uniform_real_distribution<double> unit(0, 1);
      int entry = 0;
      if (unit(this->random) >= this->config.first_entry) {
        entry =
            std::uniform_int_distribution<int>(1, kEntries - 1)(this->random);
      }
      this->Submit({entry, this->events.Now(), 0, {}});
      this->PlanArrival();
    });
  }

  /// A time with an exponential distribution.
  auto Draw(double mean_seconds) -> Duration {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        std::exponential_distribution<double>(1 / mean_seconds)(this->random)));
  }

  auto Submit(const Pending& request) -> void {
    SimEntry& entry = this->entries.at(request.entry);
    entry.queue.push_back(request);
    this->Dispatch(entry);
  }

  auto Dispatch(SimEntry& entry) -> void {
    while (!entry.queue.empty()) {
      const Pending request = entry.queue.front();
      if (this->events.Now() > request.arrived + kDeadline) {
        entry.queue.pop_front();
        continue;
      }
      const auto chosen = this->Choose(entry, request);
      if (!chosen) {
        return;
      }
      entry.queue.pop_front();
      this->Send(entry, request, *chosen);
    }
  }

  auto Choose(SimEntry& entry, const Pending& request) -> std::optional<int> {
    const TimePoint now = this->events.Now();
    std::vector<WorkerCandidate> candidates;
    std::vector<int> indexes;
    for (int i = 0; i < kWorkers; ++i) {
      const VmId& vm = this->workers.at(i).vm;
      if (!entry.health.IsEjected(vm)) {
        indexes.push_back(i);
        candidates.push_back(
            {entry.slots->FreeSlots(vm, now), entry.local.at(i),
             this->Reported(i), true,
             entry.health.IsSuspect(vm, now) || request.failed_on.contains(i)});
      }
    }
    const auto chosen = ChooseWorker(this->method, candidates, this->random);
    return chosen ? std::optional(indexes.at(*chosen)) : std::nullopt;
  }

  /// The worker's count as it was some time ago.
  auto Reported(int index) -> int {
    auto& history = this->workers.at(index).history;
    const TimePoint then = this->events.Now() - this->config.report_age;
    while (history.size() > 1 && history[1].first <= then) {
      history.pop_front();
    }
    return history.empty() || history.front().first > then
               ? 0
               : history.front().second;
  }

  auto Count(int index, int change) -> void {
    SimWorker& worker = this->workers.at(index);
    worker.running += change;
    worker.history.emplace_back(this->events.Now(), worker.running);
  }

  auto Send(SimEntry& entry, Pending request, int index) -> void {
    const VmId& vm = this->workers.at(index).vm;
    std::optional<int> slot;
    if (this->method == ChoiceMethod::kSlotShares) {
      slot = entry.slots->Acquire(vm, this->events.Now());
    }
    ++this->result.attempts;
    if (++request.attempts == 1) {
      entry.budget.CountFirstAttempt();
    }
    ++entry.local.at(index);
    const TimePoint sent = this->events.Now();
    this->events.RunAfter(kHop, [this, request, index, slot, sent] {
      const bool failing = this->config.failing && index == 0;
      const bool full = this->workers.at(index).running >= kSlots;
      Duration time = milliseconds(1);
      if (!failing && !full) {
        time = this->Draw(std::chrono::duration<double>(kMeanService).count());
      }
      const bool runs = !full;
      if (runs) {
        this->Count(index, 1);
      }
      this->events.RunAfter(
          time + kHop, [this, request, index, slot, sent, runs, failing] {
            if (runs) {
              this->Count(index, -1);
            }
            this->Finish(request, index, slot, sent, runs, failing);
          });
    });
  }

  auto Finish(const Pending& request,
              int index,
              std::optional<int> slot,
              TimePoint sent,
              bool ran,
              bool failed) -> void {
    SimEntry& entry = this->entries.at(request.entry);
    const TimePoint now = this->events.Now();
    const VmId& vm = this->workers.at(index).vm;
    --entry.local.at(index);
    if (slot) {
      entry.slots->Release(vm, *slot, now);
    }
    if (ran) {
      entry.health.RecordAttempt(vm, failed, now - sent, now);
    }
    if (ran && !failed) {
      ObserveServiceTime(entry.observed, now - sent);
      const Duration delay = now - request.arrived;
      this->result.in_time += delay <= kDeadline ? 1 : 0;
      this->result.delays_ms.push_back(
          std::chrono::duration<double, std::milli>(delay).count());
    } else {
      this->result.refused += ran ? 0 : 1;
      this->result.failed += ran ? 1 : 0;
      this->RetryIfAllowed(
          entry, request, index,
          ran ? this->FailureResult() : AttemptResult::kRefused);
    }
    this->Dispatch(entry);
  }

  [[nodiscard]] auto FailureResult() const -> AttemptResult {
    return this->config.answers_errors ? AttemptResult::kAnswered
                                       : AttemptResult::kUnknown;
  }

  /// As Dispatcher::ContinueAfterFailure() decides it.
  auto RetryIfAllowed(SimEntry& entry,
                      Pending request,
                      int index,
                      AttemptResult last) -> void {
    request.failed_on.insert(index);
    const RetryFacts facts{true, last,
                           request.arrived + kDeadline - this->events.Now(),
                           EstimateServiceTime(entry.observed)};
    if (MayRetry(facts) && entry.budget.TryTake()) {
      this->Submit(request);
    }
  }

  /// Loans between entries, as the gateway's loan desk makes them, and probes,
  /// which a failing worker answers well.
  auto PlanTick() -> void {
    this->events.RunAfter(kAskInterval, [this] {
      const TimePoint now = this->events.Now();
      for (SimEntry& entry : this->entries) {
        for (const VmId& vm : entry.health.DueProbes(now)) {
          std::ignore = entry.health.RecordProbe(vm, true, now);
        }
        if (this->method == ChoiceMethod::kSlotShares) {
          entry.slots->SetEjected(entry.health.Ejected());
          this->Borrow(entry, now);
        }
        this->Dispatch(entry);
      }
      this->PlanTick();
    });
  }

  auto Borrow(SimEntry& entry, TimePoint now) -> void {
    for (const auto& [lender, loans] : entry.slots->TakeEndedLoans(now)) {
      for (SimEntry& peer : this->entries) {
        if (peer.id == lender) {
          peer.slots->AcceptReturned(entry.id, loans);
        }
      }
    }
    const int own = entry.slots->OwnSlots() - entry.slots->LentSlots(now);
    const int needed = entry.slots->BusySlots(now) +
                       static_cast<int>(entry.queue.size()) + 1 - own;
    if (needed <= 0 ||
        (entry.queue.empty() && entry.slots->BusySlots(now) < own)) {
      return;
    }
    for (SimEntry& peer : this->entries) {
      if (peer.id != entry.id && peer.queue.empty()) {
        const int keep = (peer.slots->OwnSlots() + 3) / 4;
        entry.slots->Borrow(
            peer.id,
            peer.slots->Lend(entry.id, (needed + kEntries - 2) / (kEntries - 1),
                             keep, now, kLoanTime),
            now + kLoanTime);
      }
    }
  }

  ChoiceMethod method;
  Case config;
  Random random;
  VirtualQueue events;
  TimePoint last_arrival;
  std::array<SimWorker, kWorkers> workers;
  std::array<SimEntry, kEntries> entries;
  Result result;
};

auto Percentile(std::vector<double> values, std::size_t percent) -> double {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() * percent / 100];
}

auto MethodName(ChoiceMethod method) -> std::string {
  switch (method) {
    case ChoiceMethod::kUniformRandom:
      return "uniform random";
    case ChoiceMethod::kTwoChoices:
      return "two choices";
    case ChoiceMethod::kLeastReported:
      return "least reported";
    case ChoiceMethod::kSlotShares:
      break;
  }
  return "slot shares";
}

auto RunAll() -> void {
  CsvFile csv(FLAGS_csv);
  const std::vector<Case> cases = {
      {.name = "even"},
      {.name = "skew", .first_entry = 0.5},
      {.name = "stale 250 ms", .report_age = milliseconds(250)},
      {.name = "resetting worker", .failing = true},
      {.name = "erring worker", .failing = true, .answers_errors = true}};
  fmt::print("seed {}\n{:<18}{:<16}{:>10}{:>10}{:>10}{:>10}{:>10}\n",
             FLAGS_seed, "case", "method", "in time", "refused", "failed",
             "attempts", "p99 ms");
  for (const Case& each : cases) {
    double baseline = 0;
    for (const ChoiceMethod method :
         {ChoiceMethod::kUniformRandom, ChoiceMethod::kTwoChoices,
          ChoiceMethod::kLeastReported, ChoiceMethod::kSlotShares}) {
      const Result result = ChoiceRun(method, each).Run();
      const auto share = [&](int count) {
        return static_cast<double>(count) / result.offered;
      };
      fmt::print("{:<18}{:<16}{:>10.4f}{:>10.4f}{:>10.4f}{:>10.3f}{:>10.1f}\n",
                 each.name, MethodName(method), share(result.in_time),
                 share(result.refused), share(result.failed),
                 share(result.attempts), Percentile(result.delays_ms, 99));
      if (method == ChoiceMethod::kUniformRandom) {
        baseline = share(result.in_time);
      }
      csv.Add("worker_choice_in_time", each.name + " / " + MethodName(method),
              baseline, share(result.in_time), 1, share(result.in_time));
    }
  }
}

}  // namespace
}  // namespace fireflythread

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  fireflythread::RunAll();
  return 0;
}
