#include "fireflythread/entry/shard_publisher.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/duties/measure_load.h"
#include "fireflythread/entry/duty_task.h"
#include "fireflythread/entry/store_timeouts.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/jobs/shard_jobs.h"
#include "fireflythread/ownership/ownership.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Least time between two writings of the counts of waiting jobs.
constexpr milliseconds kWaitingPeriod{800};

/// Least time between two writings of the pool's load.
constexpr milliseconds kLoadPeriod{300};

auto EncodeCounts(const std::map<QueueName, int>& counts) -> std::string {
  nlohmann::json value = nlohmann::json::object();
  for (const auto& [queue, count] : counts) {
    value[queue.value] = count;
  }
  return value.dump();
}

}  // namespace

ShardPublisher::ShardPublisher(TableStore& table_store) : store(table_store) {}

auto ShardPublisher::Publish(ShardState& state) -> void {
  const TimePoint now = ReadBootClock();
  this->PublishWaiting(state, now);
  this->PublishLoad(state, now);
}

auto ShardPublisher::PublishWaiting(const ShardState& state, TimePoint now)
    -> void {
  if (this->storing_waiting || now - this->waiting_at < kWaitingPeriod) {
    return;
  }
  std::map<QueueName, int> counts = CountWaiting(state);
  if (this->waiting_stored && counts == this->waiting) {
    return;
  }
  Transaction transaction;
  transaction.conditions.push_back({std::string(kFenceTable),
                                    std::string(kFenceKey), state.fence,
                                    state.service.value});
  transaction.writes.push_back({std::string(kWaitingTable), "counts",
                                EncodeCounts(counts), state.service.value});
  this->storing_waiting = true;
  this->waiting_at = now;
  this->store.Commit(
      std::move(transaction), kStoreTimeout,
      this->alive.Guard(
          [this, counts](const TransactionOutcome& outcome) -> void {
            this->storing_waiting = false;
            if (std::holds_alternative<Committed>(outcome)) {
              this->waiting = counts;
              this->waiting_stored = true;
            }
          }));
}

auto ShardPublisher::PublishLoad(ShardState& state, TimePoint now) -> void {
  if (this->storing_load || now - this->load_at < kLoadPeriod) {
    return;
  }
  this->load_at = now;
  PoolLoad measured = MeasureLoad(state, std::chrono::system_clock::now(), now);
  if (measured == this->load) {
    return;
  }
  Transaction transaction;
  transaction.writes.push_back(
      {std::string(kLoadTable), state.service.value, EncodePoolLoad(measured)});
  this->storing_load = true;
  this->store.Commit(
      std::move(transaction), kStoreTimeout,
      this->alive.Guard(
          [this, measured](const TransactionOutcome& outcome) -> void {
            this->storing_load = false;
            if (std::holds_alternative<Committed>(outcome)) {
              this->load = measured;
            }
          }));
}

}  // namespace fireflythread
