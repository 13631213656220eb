#include "fireflythread/entry/shard_publisher.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/duties/measure_load.h"
#include "fireflythread/entry/duty_task.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/jobs/shard_jobs.h"
#include "fireflythread/ownership/fence.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Minimum time between two writes of the counts of waiting jobs.
constexpr milliseconds kWaitingPeriod{800};

/// Minimum time between two writes of the pool's load, and between two while a
/// load peak begins: VMs that are moved to the pool arrive that much earlier.
constexpr milliseconds kLoadPeriod{300};
constexpr milliseconds kRisingLoadPeriod{100};

/// Arriving work counts as rising when it exceeds the published one by a
/// quarter.
constexpr std::int64_t kRisingDivisor = 4;

/// Encodes the counts by the queues' identities, and by their names, which
/// earlier versions of the program look for.
auto EncodeCounts(const std::map<QueueId, int>& counts,
                  const std::map<QueueId, Queue>& queues) -> std::string {
  nlohmann::json value = nlohmann::json::object();
  for (const auto& [id, count] : counts) {
    const auto queue = queues.find(id);
    if (queue != queues.end()) {
      value[queue->second.name.value] = count;
    }
  }
  for (const auto& [id, count] : counts) {
    value[id.value] = count;
  }
  return value.dump();
}

}  // namespace

ShardPublisher::ShardPublisher(TableStore& table_store,
                               const Logger& log,
                               const ShardName& shard,
                               ServiceName pool_name)
    : pool(std::move(pool_name)),
      waiting_row(table_store,
                  log,
                  std::string(kWaitingTable),
                  std::string(kWaitingKey),
                  shard.value),
      load_row(table_store,
               log,
               std::string(kLoadTable),
               shard.value,
               std::string(kLoadPart),
               [this](const std::string& value) {
                 return this->MayReplaceLoad(value);
               }),
      backlog(table_store, log, shard) {}

auto ShardPublisher::Publish(ShardState& state,
                             TimePoint feed_at,
                             TimePoint now) -> void {
  this->PublishWaiting(state, feed_at, now);
  this->PublishLoad(state, now);
  if (now - feed_at <= kFeedTimeout) {
    this->backlog.Publish(state, std::chrono::system_clock::now(), now);
  }
}

auto ShardPublisher::PublishWaiting(const ShardState& state,
                                    TimePoint feed_at,
                                    TimePoint now) -> void {
  if (this->waiting_row.IsWriting() ||
      now - this->waiting_at < kWaitingPeriod) {
    return;
  }
  std::string counts{kNoCounts};
  if (now - feed_at <= kFeedTimeout) {
    counts = EncodeCounts(CountWaiting(state), state.queues);
  }
  if (this->waiting_row.IsKnown() && counts == this->waiting) {
    return;
  }
  this->waiting_at = now;
  this->waiting_row.Write(counts, {OwnerCondition(state.shard, state.fence)},
                          kStoreTimeout,
                          [this, counts](const TransactionOutcome& outcome) {
                            if (std::holds_alternative<Committed>(outcome)) {
                              this->waiting = counts;
                            }
                          });
}

auto ShardPublisher::PublishLoad(ShardState& state, TimePoint now) -> void {
  if (this->load_row.IsWriting() || this->load_superseded ||
      now - this->load_at < kRisingLoadPeriod) {
    return;
  }
  const std::int64_t published = this->load.arriving_millicores;
  const bool rising =
      ArrivingMillicores(state, now) > published + published / kRisingDivisor;
  if (!rising && now - this->load_at < kLoadPeriod) {
    return;
  }
  this->load_at = now;
  PoolLoad measured = MeasureLoad(state, std::chrono::system_clock::now(), now);
  measured.pool = this->pool;
  if (this->load_row.IsKnown() && measured == this->load) {
    return;
  }
  this->fence = state.fence;
  std::string value = EncodePoolLoad(measured);
  this->load_row.Write(
      std::move(value), {}, kStoreTimeout,
      [this, stored = std::move(measured)](const TransactionOutcome& outcome) {
        if (std::holds_alternative<Committed>(outcome)) {
          this->load = stored;
        }
      });
}

auto ShardPublisher::MayReplaceLoad(const std::string& value) -> bool {
  const auto current = DecodePoolLoad(value);
  this->load_superseded = current && current->fence > this->fence;
  return !this->load_superseded;
}

}  // namespace fireflythread
