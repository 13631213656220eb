#include "fireflythread/entry/backlog_publisher.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "fireflythread/entry/backlog_tables.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/jobs/admission_decision.h"
#include "fireflythread/jobs/backlog_codec.h"
#include "fireflythread/jobs/job_urgency.h"
#include "fireflythread/jobs/shard_state.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Minimum time between two measurements, and so between two writes.
constexpr milliseconds kMeasurePeriod{500};

/// An unchanged backlog is written again after this time, so that entries don't
/// take it for outdated.
constexpr milliseconds kRefreshPeriod{900};
static_assert(kRefreshPeriod + kMeasurePeriod < kMaxBacklogAge);

/// Returns the shortest wait that may make a job useless: that of a job without
/// work of its own in the queue with the shortest latency objective.
auto ShortestHarmfulWait(const ShardState& state) -> milliseconds {
  milliseconds shortest = milliseconds::max();
  for (const auto& [id, queue] : state.queues) {
    shortest =
        std::min(shortest, queue.terms.latency_objective * kUsefulObjectives);
  }
  return shortest;
}

}  // namespace

BacklogPublisher::BacklogPublisher(TableStore& table_store,
                                   const Logger& log,
                                   const ShardName& shard)
    : logger(log),
      row(table_store,
          log,
          std::string(kBacklogTable),
          shard.value,
          std::string(kBacklogPart),
          [this](const std::string& value) {
            return this->MayReplace(value);
          }) {}

auto BacklogPublisher::Publish(ShardState& state,
                               WallTime wall_now,
                               TimePoint now) -> void {
  const bool off = state.shares.weights.empty();
  const bool has_published = !this->published.empty() || !this->row.IsKnown();
  if (this->row.IsWriting() || this->superseded || (off && !has_published) ||
      now - this->measured_at < kMeasurePeriod) {
    return;
  }
  this->measured_at = now;
  BacklogRow measured{state.fence,
                      MeasureBacklog(state, this->cap_waits, wall_now, now)};
  const WorkTime wait = LongestWait(measured.backlog);
  const bool matters = wait > ShortestHarmfulWait(state);
  if (matters != this->has_backlog) {
    this->has_backlog = matters;
    this->LogChange(state, wait);
  }
  if (!matters) {
    measured.backlog = Backlog();
    if (!has_published) {
      return;
    }
  }
  std::string value = EncodeBacklog(measured);
  if (value == this->published && this->row.IsKnown() &&
      now - this->published_at < kRefreshPeriod) {
    return;
  }
  this->published_at = now;
  this->fence = state.fence;
  this->row.Write(
      value, {}, kStoreTimeout,
      [this, stored = matters ? value : ""](const TransactionOutcome& outcome) {
        if (std::holds_alternative<Committed>(outcome)) {
          this->published = stored;
        }
      });
}

auto BacklogPublisher::LogChange(const ShardState& state, WorkTime wait)
    -> void {
  this->logger.Info(
      "shard", "backlog_changed",
      {{"shard", state.shard},
       {"refusing", this->has_backlog},
       {"wait_ms", std::chrono::round<milliseconds>(
                       std::min<WorkTime>(wait, std::chrono::hours(24)))
                       .count()}});
}

auto BacklogPublisher::MayReplace(const std::string& value) -> bool {
  const auto current = DecodeBacklog(value);
  this->superseded = current && current->fence > this->fence;
  return !this->superseded;
}

}  // namespace fireflythread
