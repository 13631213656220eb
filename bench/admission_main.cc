// Compares three ways of admission in a pool that gets five times its mean load
// for some seconds and a twentieth of it in between: first come first served,
// strict priority by class, and the queue that the gateway uses. Everything is
// computed on virtual time from a fixed seed.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <array>
#include <string>

#include "bench/common/csv_file.h"
#include "bench/common/virtual_queue.h"
#include "fireflythread/admission/admission_queue.h"
#include "fireflythread/admission/service_time.h"
#include "fireflythread/base/random.h"

DEFINE_string(csv, "", "file for the rows measure,case,baseline,result,...");
DEFINE_uint64(seed, 20261204, "seed of the random source");
DEFINE_int32(cycles, 100, "surges (1 to 1000)");

namespace fireflythread {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One entry's part of a pool of 10 workers with 8 slots each.
constexpr int kSlots = 10;
constexpr Duration kMeanService = milliseconds(40);
/// Of what the slots can serve; five times of it is the surge.
constexpr double kMeanLoad = 0.5;
constexpr double kSurge = 5.0;
constexpr double kQuiet = 1.0 / 20;
constexpr Duration kSurgeTime = seconds(5);
constexpr Duration kQuietTime = seconds(15);
constexpr double kCounterBound = 0.999;
constexpr double kTotalBound = 0.9;

struct ClassMix {
  double share;
  Duration deadline;
};

/// Counter, deadline and batch requests.
constexpr std::array<ClassMix, kRequestClasses> kMix = {
    {{0.3, milliseconds(500)}, {0.3, seconds(2)}, {0.4, seconds(30)}}};

struct ClassCount {
  int offered = 0;
  int in_time = 0;
};

struct Result {
  std::array<ClassCount, kRequestClasses> classes;
  /// In the surges: answers in time, and what the slots can serve.
  int surge_in_time = 0;
  double surge_capacity = 0;
};

class PoolRun {
 public:
  PoolRun(QueueOrder queue_order, bool shed)
      : random(FLAGS_seed),
        sheds(shed),
        queue({.order = queue_order, .shed_early = shed}) {}

  auto Run() -> Result {
    this->PlanArrival();
    this->PlanTick();
    const Duration cycle = kSurgeTime + kQuietTime;
    this->events.RunUntil(this->events.Now() + FLAGS_cycles * cycle);
    this->result.surge_capacity =
        FLAGS_cycles * kSlots *
        (std::chrono::duration<double>(kSurgeTime) / kMeanService);
    return this->result;
  }

 private:
  [[nodiscard]] auto InSurge() const -> bool {
    return this->events.Now().time_since_epoch() % (kSurgeTime + kQuietTime) <
           kSurgeTime;
  }

  auto PlanArrival() -> void {
    const double capacity =
        kSlots / std::chrono::duration<double>(kMeanService).count();
    const double rate =
        capacity * kMeanLoad * (this->InSurge() ? kSurge : kQuiet);
    const std::chrono::duration<double> wait(
        std::exponential_distribution<double>(rate)(this->random));
    this->events.RunAfter(std::chrono::duration_cast<Duration>(wait), [this] {
      this->Arrive();
      this->PlanArrival();
    });
  }

  auto Arrive() -> void {
    const double draw =
        std::uniform_real_distribution<double>(0, 1)(this->random);
    const std::size_t index = draw < kMix[0].share                   ? 0
                              : draw < kMix[0].share + kMix[1].share ? 1
                                                                     : 2;
    const TimePoint now = this->events.Now();
    ++this->result.classes.at(index).offered;
    const QueuedRequest request{this->next_id++,
                                TeamName(),
                                static_cast<RequestClass>(index),
                                now,
                                now + kMix.at(index).deadline,
                                EstimateServiceTime(this->observed)};
    std::ignore = this->queue.Offer(
        request, {kSlots, this->busy, this->observed.mean}, now);
    this->Dispatch();
  }

  auto Dispatch() -> void {
    if (this->sheds) {
      std::ignore = this->queue.TakeDeadlineUnreachable(this->events.Now());
    }
    while (this->busy < kSlots) {
      const auto next = this->queue.Take(this->events.Now());
      if (!next) {
        return;
      }
      ++this->busy;
      // Half of the mean is fixed, the other half varies without a bound.
      const std::chrono::duration<double> varied(
          std::exponential_distribution<double>(
              2 / std::chrono::duration<double>(kMeanService).count())(
              this->random));
      const Duration time =
          kMeanService / 2 + std::chrono::duration_cast<Duration>(varied);
      this->events.RunAfter(
          time, [this, request = *next, time] { this->Finish(request, time); });
    }
  }

  auto Finish(const QueuedRequest& request, Duration time) -> void {
    --this->busy;
    ObserveServiceTime(this->observed, time);
    if (this->events.Now() <= request.deadline) {
      const auto index = static_cast<std::size_t>(request.request_class);
      ++this->result.classes.at(index).in_time;
      this->result.surge_in_time += this->InSurge() ? 1 : 0;
    }
    this->Dispatch();
  }

  auto PlanTick() -> void {
    this->events.RunAfter(milliseconds(10), [this] {
      this->Dispatch();
      this->PlanTick();
    });
  }

  Random random;
  bool sheds;
  AdmissionQueue queue;
  VirtualQueue events;
  ServiceTime observed;
  Result result;
  std::uint64_t next_id = 1;
  int busy = 0;
};

auto Ratio(const ClassCount& count) -> double {
  return count.offered == 0
             ? 1
             : static_cast<double>(count.in_time) / count.offered;
}

auto Run() -> void {
  CsvFile csv(FLAGS_csv);
  const Result fifo = PoolRun(QueueOrder::kFifo, false).Run();
  const Result strict = PoolRun(QueueOrder::kStrictPriority, false).Run();
  const Result fair = PoolRun(QueueOrder::kFair, true).Run();
  fmt::print("answered in time, seed {}\n{:<18}{:>10}{:>10}{:>10}{:>10}\n",
             FLAGS_seed, "", "fifo", "strict", "chosen", "bound");
  for (std::size_t i = 0; i < kRequestClasses; ++i) {
    const std::string name(RequestClassName(static_cast<RequestClass>(i)));
    const double bound = i == 0 ? kCounterBound : 0;
    const double before = Ratio(fifo.classes.at(i));
    const double now = Ratio(fair.classes.at(i));
    fmt::print("{:<18}{:>10.4f}{:>10.4f}{:>10.4f}{:>10.3f}\n", name, before,
               Ratio(strict.classes.at(i)), now, bound);
    csv.Add("admission_in_time", name, before, now, bound,
            bound > 0 ? now / bound : 0);
    csv.Add("admission_in_time_strict", name, before,
            Ratio(strict.classes.at(i)), bound,
            bound > 0 ? Ratio(strict.classes.at(i)) / bound : 0);
  }
  const auto surge = [](const Result& result) {
    return result.surge_in_time / result.surge_capacity;
  };
  fmt::print("{:<18}{:>10.4f}{:>10.4f}{:>10.4f}{:>10.3f}\n",
             "surge, of capacity", surge(fifo), surge(strict), surge(fair),
             kTotalBound);
  csv.Add("admission_surge_goodput", "all classes", surge(fifo), surge(fair),
          kTotalBound, surge(fair) / kTotalBound);
}

}  // namespace
}  // namespace fireflythread

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  fireflythread::Run();
  return 0;
}
