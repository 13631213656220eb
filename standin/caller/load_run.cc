#include "standin/caller/load_run.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "standin/common/main_loop.h"

namespace fireflythread::standin {
namespace {

constexpr int kMaxConnections = 4000;
constexpr int kMaxConnectionsPerEntry = 1000;
/// Longest sleep between two looks at the schedule.
constexpr double kMaxWaitSeconds = 0.2;

auto FromSeconds(double seconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

LoadRun::LoadRun(LoadRunSettings run_settings,
                 std::ostream* outcome_lines,
                 std::function<void()> on_end)
    : settings(std::move(run_settings)),
      lines(outcome_lines),
      end(std::move(on_end)),
      session(soup_session_new_with_options("max-conns",
                                            kMaxConnections,
                                            "max-conns-per-host",
                                            kMaxConnectionsPerEntry,
                                            "proxy-resolver",
                                            nullptr,
                                            nullptr)),
      random(this->settings.seed) {}

LoadRun::~LoadRun() {
  g_object_unref(this->session);
}

auto LoadRun::Start() -> void {
  this->begin = ReadBootClock();
  this->next_arrival = NextArrival(this->settings.schedule, 0, this->random);
  this->SendDue();
}

auto LoadRun::SendDue() -> void {
  const std::chrono::duration<double> passed = ReadBootClock() - this->begin;
  while (this->next_arrival <= passed.count() &&
         this->next_arrival < this->settings.seconds &&
         this->number < this->settings.max_requests) {
    CallPlan plan = DrawCall(this->settings.mix, this->number, this->random);
    plan.entry = this->number++ % this->settings.entries.size();
    const TimePoint due = this->begin + FromSeconds(this->next_arrival);
    this->Send(plan, due, this->settings.connect_attempts);
    if (this->settings.repeat_at_once) {
      this->SendRepeat(plan);
    }
    this->next_arrival =
        NextArrival(this->settings.schedule, this->next_arrival, this->random);
  }
  if (this->next_arrival >= this->settings.seconds ||
      this->number >= this->settings.max_requests) {
    this->arrivals_ended = true;
    if (this->outstanding == 0) {
      this->end();
    }
    return;
  }
  const double wait =
      std::clamp(this->next_arrival - passed.count(), 0.0, kMaxWaitSeconds);
  RunLater(std::chrono::milliseconds(std::lround(std::ceil(wait * 1000))),
           [this] { this->SendDue(); });
}

auto LoadRun::Send(const CallPlan& plan,
                   TimePoint due,
                   std::size_t attempts_left) -> void {
  ++this->outstanding;
  Call::Send(this->session, this->settings.entries[plan.entry], plan,
             this->settings.call, due,
             [this, due, attempts_left](const CallRecord& record) {
               this->HandleEnd(record, due, attempts_left);
             });
}

auto LoadRun::SendRepeat(const CallPlan& plan) -> void {
  std::uniform_real_distribution<double> share(0, 1);
  if (plan.key.empty() || !plan.repeats.empty() ||
      share(this->random) >= this->settings.repeat_share) {
    return;
  }
  CallPlan repeat = plan;
  repeat.repeats = plan.id;
  repeat.id += kRepeatSuffix;
  repeat.entry = (plan.entry + 1) % this->settings.entries.size();
  this->Send(repeat, ReadBootClock(), this->settings.connect_attempts);
}

auto LoadRun::HandleEnd(const CallRecord& record,
                        TimePoint due,
                        std::size_t attempts_left) -> void {
  --this->outstanding;
  if (record.outcome == CallOutcome::kNotSent && attempts_left > 1) {
    ++this->failovers;
    CallPlan plan = record.plan;
    plan.entry = (plan.entry + 1) % this->settings.entries.size();
    this->Send(plan, due, attempts_left - 1);
    return;
  }
  this->stats.Add(record);
  if (this->lines != nullptr) {
    *this->lines << ToJson(record).dump(
                        -1, ' ', false,
                        nlohmann::json::error_handler_t::replace)
                 << "\n";
  }
  if (!this->settings.repeat_at_once) {
    this->SendRepeat(record.plan);
  }
  if (this->arrivals_ended && this->outstanding == 0) {
    this->end();
  }
}

auto LoadRun::Summary() const -> nlohmann::json {
  nlohmann::json summary = this->stats.Summary();
  const std::chrono::duration<double> passed = ReadBootClock() - this->begin;
  summary["seconds"] = passed.count();
  summary["failovers"] = this->failovers;
  summary["seed"] = this->settings.seed;
  return summary;
}

}  // namespace fireflythread::standin
