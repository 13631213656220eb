#ifndef FIREFLYTHREAD_ENTRY_SHARD_PUBLISHER_H_
#define FIREFLYTHREAD_ENTRY_SHARD_PUBLISHER_H_

#include <chrono>
#include <map>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/duties/pool_load.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/platform/table_store.h"

namespace fireflythread {

/// Stores what others want to know of a shard: how many jobs wait in each
/// queue, for callers, and the load of the pool, for the owner of the duties.
/// Both are stored only when they have changed, and a while after the last
/// time. Counts that are not current any more are removed.
class ShardPublisher {
 public:
  explicit ShardPublisher(TableStore& store);
  ShardPublisher(const ShardPublisher&) = delete;
  auto operator=(const ShardPublisher&) -> ShardPublisher& = delete;

  /// `feed_at` is the time of the last jobs and cancellations in `state`. When
  /// it is more than kFeedTimeout ago, the counts are removed.
  auto Publish(ShardState& state, TimePoint feed_at, TimePoint now) -> void;

 private:
  using Counts = std::map<QueueName, int>;

  auto PublishWaiting(const ShardState& state, TimePoint feed_at, TimePoint now)
      -> void;
  /// Writes the row, or removes it when there are no counts.
  auto StoreWaiting(const ShardState& state, std::optional<Counts> counts)
      -> void;
  auto PublishLoad(ShardState& state, TimePoint now) -> void;

  TableStore& store;
  /// What the row holds. There is none at first, as the claim removes it.
  std::optional<Counts> waiting;
  /// False after a transaction whose answer was lost.
  bool waiting_known = true;
  TimePoint waiting_at;
  bool storing_waiting = false;
  PoolLoad load;
  TimePoint load_at;
  bool storing_load = false;
  AliveToken alive;
};

/// Counts of an owner whose feed of jobs is not answered for this long are not
/// current any more. An idle feed is answered every kFollowWait.
inline constexpr std::chrono::milliseconds kFeedTimeout{2000};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_SHARD_PUBLISHER_H_
