#include "fireflythread/entry/pace_task.h"

#include <chrono>
#include <cmath>
#include <string>
#include <utility>

#include "fireflythread/base/io_clock.h"

namespace fireflythread {
namespace {

constexpr std::chrono::milliseconds kOrderTimeout{1000};
constexpr std::chrono::seconds kReportPeriod{1};

/// Changes of one pass that are logged; the metric counts all.
constexpr std::size_t kMaxLoggedChanges = 5;

}  // namespace

PaceTask::PaceTask(WorkerClient& client,
                   const Logger& log,
                   MetricsRegistry& registry,
                   ShardState& shard_state,
                   std::function<void()> reply_callback)
    : workers(client),
      logger(log),
      metrics(registry),
      state(shard_state),
      on_reply(std::move(reply_callback)) {}

auto PaceTask::Step(TimePoint now) -> void {
  const PaceOrders orders = NextPaces(this->state, now);
  std::size_t logged = 0;
  for (const PaceChange& change : orders.changes) {
    this->metrics
        .GetCounter(
            "fireflythread_filler_pace_changes_total",
            "Changes of the speed limit of a worker's fillers",
            {{"direction",
              change.percent < change.from_percent ? "lowered" : "raised"}})
        .Add();
    if (++logged <= kMaxLoggedChanges) {
      this->RecordChange(change);
    }
  }
  for (const PaceCommand& pace : orders.commands) {
    this->Send(pace);
  }
  this->Report(now);
}

auto PaceTask::Send(const PaceCommand& pace) -> void {
  this->workers.SetPace(
      pace, kOrderTimeout,
      this->alive.Guard([this, pace](const OrderReply& reply) {
        this->metrics
            .GetCounter(
                "fireflythread_pace_orders_total",
                "Orders that set the speed of a filler",
                {{"outcome",
                  reply.verdict == OrderVerdict::kDone ? "done" : "failed"}})
            .Add();
        ApplyPaceReply(this->state, pace, reply, ReadBootClock());
        this->on_reply();
      }));
}

auto PaceTask::RecordChange(const PaceChange& change) -> void {
  constexpr double kPercent = 100;
  this->logger.Info(
      "shard", "fillers_paced",
      {{"shard", this->state.shard},
       {"worker", change.worker},
       {"from_percent", change.from_percent},
       {"percent", change.percent},
       {"tail_percent_of_target",
        static_cast<std::int64_t>(std::lround(change.pressure * kPercent))}});
}

auto PaceTask::Report(TimePoint now) -> void {
  if (now - this->reported_at < kReportPeriod ||
      this->state.image_pairs.levels.empty()) {
    return;
  }
  this->reported_at = now;
  const int interfering = CountInterfering(this->state.image_pairs, now);
  this->metrics
      .GetGauge("fireflythread_interfering_pairs",
                "Pairs of images that are known to interfere",
                {{"shard", this->state.shard.value}})
      .Set(interfering);
  const std::int64_t apart = this->state.kept_apart - this->reported_apart;
  if (apart == 0) {
    return;
  }
  this->reported_apart = this->state.kept_apart;
  this->metrics
      .GetCounter("fireflythread_runs_kept_apart_total",
                  "Runs placed away from an interfering image")
      .Add(static_cast<std::uint64_t>(apart));
  this->logger.Info("shard", "runs_kept_apart",
                    {{"shard", this->state.shard},
                     {"runs", apart},
                     {"interfering_pairs", interfering},
                     {"known_pairs", this->state.image_pairs.pairs.size()}});
}

}  // namespace fireflythread
