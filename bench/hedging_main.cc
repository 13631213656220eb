// Compares ways of hedging counter requests on one entry's part of a pool: no
// hedge, a hedge after a fixed delay, after a percentile of the observed times,
// and after the delay that HedgeDelay() gives. One worker freezes, one is slow,
// or all are slow. Everything is computed on virtual time from a fixed seed.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <deque>
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
#include "fireflythread/routing/worker_choice.h"

DEFINE_string(csv, "", "file for the rows measure,case,baseline,result,...");
DEFINE_uint64(seed, 20261204, "seed of the random source");
DEFINE_int32(seconds, 300, "virtual time of each run (1 to 3600)");
DEFINE_int32(deadline_ms, 200, "deadline of each request (1 to 30000)");

namespace fireflythread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kWorkers = 10;
constexpr int kSlots = 2;
constexpr Duration kMeanService = milliseconds(40);

constexpr Duration kDrainTime = seconds(30);
constexpr Duration kTick = milliseconds(10);
constexpr Duration kFixedDelay = milliseconds(100);
constexpr double kHedgePart = 0.95;
constexpr int kSamplesForPercentile = 20;
constexpr double kSlow = 5.0;
constexpr double kLoad = 0.5;
constexpr double kAttemptsBound = 1.1;
/// The fault is on for the second half of each such time.
constexpr Duration kFaultPeriod = seconds(20);

enum class Hedging { kNone, kFixed, kPercentile, kDaemon };
enum class Fault { kNone, kFrozen, kSlowWorker, kSlowPool };

constexpr std::array<const char*, 4> kHedgingNames = {
    "no hedge", "fixed 100 ms", "percentile 95", "HedgeDelay()"};
constexpr std::array<const char*, 4> kFaultNames = {"no fault", "frozen worker",
                                                    "slow worker", "slow pool"};

struct Result {
  int offered = 0;
  int in_time = 0;
  int attempts = 0;
  std::vector<double> delays_ms;
};

struct Pending {
  TimePoint arrived;
  bool answered = false;
  int live = 0;
  int attempts = 0;
  std::set<int> tried;
};
using Request = std::shared_ptr<Pending>;

class HedgeRun {
 public:
  HedgeRun(Hedging hedging_method, Fault run_fault)
      : hedging(hedging_method), fault(run_fault), random(FLAGS_seed) {
    std::set<VmId> names;
    for (int i = 0; i < kWorkers; ++i) {
      this->vms.emplace_back(fmt::format("vm-{}", i));
      names.insert(this->vms.back());
    }
    this->health.SetWorkers(names);
  }

  auto Run() -> Result {
    this->start = this->events.Now();
    this->last_arrival = this->start + seconds(FLAGS_seconds);
    this->PlanArrival();
    this->PlanTick();
    this->events.RunUntil(this->last_arrival + kDrainTime);
    return this->result;
  }

 private:
  auto Draw(double mean_seconds) -> Duration {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        std::exponential_distribution<double>(1 / mean_seconds)(this->random)));
  }

  [[nodiscard]] auto HasFault(TimePoint at) const -> bool {
    return (at - this->start) % kFaultPeriod >= kFaultPeriod / 2;
  }

  auto PlanArrival() -> void {
    const std::chrono::duration<double> mean = kMeanService;
    this->events.RunAfter(
        this->Draw(mean.count() / (kLoad * kWorkers * kSlots)), [this] {
          if (this->events.Now() > this->last_arrival) {
            return;
          }
          ++this->result.offered;
          auto request = std::make_shared<Pending>();
          request->arrived = this->events.Now();
          this->queue.push_back(request);
          this->Dispatch();
          this->PlanArrival();
        });
  }

  auto PlanTick() -> void {
    this->events.RunAfter(kTick, [this] {
      const TimePoint now = this->events.Now();
      for (const VmId& vm : this->health.DueProbes(now)) {
        const bool frozen = this->fault == Fault::kFrozen &&
                            vm == this->vms[0] && this->HasFault(now);
        std::ignore = this->health.RecordProbe(vm, !frozen, now);
      }
      this->Dispatch();
      this->PlanTick();
    });
  }

  auto Choose(const Pending& request) -> std::optional<int> {
    std::vector<WorkerCandidate> candidates;
    std::vector<int> indexes;
    for (int i = 0; i < kWorkers; ++i) {
      if (!this->health.IsEjected(this->vms[i])) {
        indexes.push_back(i);
        candidates.push_back(
            {kSlots - this->running.at(i), this->running.at(i), 0, true,
             request.tried.contains(i) ||
                 this->health.IsSuspect(this->vms[i], this->events.Now())});
      }
    }
    const auto chosen =
        ChooseWorker(ChoiceMethod::kSlotShares, candidates, this->random);
    return chosen ? std::optional(indexes[*chosen]) : std::nullopt;
  }

  auto Dispatch() -> void {
    while (!this->queue.empty()) {
      const Request request = this->queue.front();
      if (this->events.Now() >
          request->arrived + milliseconds(FLAGS_deadline_ms)) {
        this->queue.pop_front();
        continue;
      }
      const auto chosen = this->Choose(*request);
      if (!chosen) {
        return;
      }
      this->queue.pop_front();
      this->Send(request, *chosen);
    }
  }

  /// How long this attempt takes on the worker.
  auto ServiceTimeOf(int worker) -> Duration {
    const TimePoint now = this->events.Now();
    // Half of the mean is fixed, the other half varies without a bound.
    const std::chrono::duration<double> mean = kMeanService;
    Duration time = kMeanService / 2 + this->Draw(mean.count() / 2);
    if (!this->HasFault(now)) {
      return time;
    }
    if (this->fault == Fault::kFrozen && worker == 0) {
      const Duration phase = (now - this->start) % kFaultPeriod;
      time += kFaultPeriod - phase;
    } else if (this->fault == Fault::kSlowPool ||
               (this->fault == Fault::kSlowWorker && worker == 0)) {
      time = std::chrono::duration_cast<Duration>(
          time * (this->fault == Fault::kSlowPool ? kSlow / 3 : kSlow));
    }
    return time;
  }

  auto Send(const Request& request, int worker) -> void {
    const TimePoint now = this->events.Now();
    ++this->result.attempts;
    ++request->live;
    ++this->running.at(worker);
    request->tried.insert(worker);
    const Duration limit = AttemptTimeLimit(
        true, request->arrived + milliseconds(FLAGS_deadline_ms) - now,
        this->observed);
    if (++request->attempts == 1) {
      this->budget.CountFirstAttempt();
      if (const auto delay = this->Delay(); delay && *delay < limit) {
        this->events.RunAfter(*delay,
                              [this, request] { this->Hedge(request); });
      }
    }
    const Duration time = this->ServiceTimeOf(worker);
    const bool silent = time > limit;
    this->events.RunAfter(std::min(time, limit),
                          [this, request, worker, now, silent] {
                            this->Finish(request, worker, now, silent);
                          });
  }

  auto Hedge(const Request& request) -> void {
    if (request->answered || request->live != 1 || !this->queue.empty()) {
      return;
    }
    const auto chosen = this->Choose(*request);
    if (chosen && !request->tried.contains(*chosen) && this->budget.TryTake()) {
      this->Send(request, *chosen);
    }
  }

  auto Finish(const Request& request, int worker, TimePoint sent, bool silent)
      -> void {
    const TimePoint now = this->events.Now();
    --request->live;
    --this->running.at(worker);
    if (silent) {
      this->health.RecordUnresponsive(this->vms[worker], now);
    } else {
      this->health.RecordAttempt(this->vms[worker], false, now - sent, now);
      this->Observe(now - sent);
    }
    if (!request->answered && !silent) {
      request->answered = true;
      const Duration delay = now - request->arrived;
      this->result.in_time += delay <= milliseconds(FLAGS_deadline_ms) ? 1 : 0;
      this->result.delays_ms.push_back(
          std::chrono::duration<double, std::milli>(delay).count());
    } else if (!request->answered && request->live == 0 &&
               MayRetry(
                   {true, AttemptResult::kUnknown,
                    request->arrived + milliseconds(FLAGS_deadline_ms) - now,
                    EstimateServiceTime(this->observed)}) &&
               this->budget.TryTake()) {
      this->queue.push_back(request);
    }
    this->Dispatch();
  }

  auto Observe(Duration time) -> void {
    ObserveServiceTime(this->observed, time);
    this->times(std::chrono::duration<double, std::milli>(time).count());
    ++this->samples;
  }

  auto Delay() -> std::optional<Duration> {
    switch (this->hedging) {
      case Hedging::kNone:
        return std::nullopt;
      case Hedging::kFixed:
        return kFixedDelay;
      case Hedging::kDaemon:
        return HedgeDelay(RequestClass::kCounter, true, this->observed);
      case Hedging::kPercentile:
        break;
    }
    if (this->samples < kSamplesForPercentile) {
      return std::nullopt;
    }
    double count = 0;
    for (const auto& bin : boost::histogram::indexed(this->times)) {
      count += *bin;
      if (count >= kHedgePart * this->samples) {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(bin.bin().upper()));
      }
    }
    return std::nullopt;
  }

  Hedging hedging;
  Fault fault;
  Random random;
  VirtualQueue events;
  TimePoint start;
  TimePoint last_arrival;
  std::vector<VmId> vms;
  std::array<int, kWorkers> running{};
  std::deque<Request> queue;
  PoolHealth health;
  RetryBudget budget;
  ServiceTime observed;
  decltype(boost::histogram::make_histogram(
      boost::histogram::axis::regular<>(500, 0, 500))) times =
      boost::histogram::make_histogram(
          boost::histogram::axis::regular<>(500, 0, 500));
  int samples = 0;
  Result result;
};

auto Percentile99(std::vector<double> values) -> double {
  std::sort(values.begin(), values.end());
  return values.empty() ? 0 : values[values.size() * 99 / 100];
}

auto RunAll() -> void {
  CsvFile csv(FLAGS_csv);
  fmt::print("seed {}\n{:<16}{:<22}{:>10}{:>10}{:>10}\n", FLAGS_seed, "case",
             "hedging", "in time", "p99 ms", "attempts");
  for (std::size_t fault = 0; fault < kFaultNames.size(); ++fault) {
    double baseline = 0;
    for (std::size_t method = 0; method < kHedgingNames.size(); ++method) {
      const Result result =
          HedgeRun(static_cast<Hedging>(method), static_cast<Fault>(fault))
              .Run();
      const double in_time =
          static_cast<double>(result.in_time) / result.offered;
      const double attempts =
          static_cast<double>(result.attempts) / result.offered;
      baseline = method == 0 ? in_time : baseline;
      fmt::print("{:<16}{:<22}{:>10.4f}{:>10.1f}{:>10.4f}\n",
                 kFaultNames.at(fault), kHedgingNames.at(method), in_time,
                 Percentile99(result.delays_ms), attempts);
      const std::string name = fmt::format("{} / {}", kFaultNames.at(fault),
                                           kHedgingNames.at(method));
      csv.Add("hedging_in_time", name, baseline, in_time, 1, in_time);
      csv.Add("hedging_attempts", name, 1, attempts, kAttemptsBound,
              attempts / kAttemptsBound);
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
