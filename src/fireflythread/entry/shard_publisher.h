#ifndef FIREFLYTHREAD_ENTRY_SHARD_PUBLISHER_H_
#define FIREFLYTHREAD_ENTRY_SHARD_PUBLISHER_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/duties/pool_load.h"
#include "fireflythread/entry/backlog_publisher.h"
#include "fireflythread/entry/published_row.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Publishes the state of a shard in the store: the number of waiting jobs of
/// each queue, for callers, the load of the pool, for the owner of the duty
/// shard, and the backlog, for admission. Each is stored only after a change,
/// at a limited rate. Counts that are no longer current are replaced by
/// kNoCounts.
class ShardPublisher {
 public:
  /// `pool` is the pool that the shard is a part of.
  ShardPublisher(TableStore& store,
                 const Logger& logger,
                 const ShardName& shard,
                 ServiceName pool);
  ShardPublisher(const ShardPublisher&) = delete;
  auto operator=(const ShardPublisher&) -> ShardPublisher& = delete;

  /// Stores the counts, the load and the backlog when they are due. `feed_at`
  /// is the time as of which `state` contains all jobs and cancellations. When
  /// it is more than kFeedTimeout ago, the counts are not current, and there is
  /// no estimate of the backlog.
  auto Publish(ShardState& state, TimePoint feed_at, TimePoint now) -> void;

 private:
  auto PublishWaiting(const ShardState& state, TimePoint feed_at, TimePoint now)
      -> void;
  auto PublishLoad(ShardState& state, TimePoint now) -> void;
  /// Returns whether the shard's load in the store may be replaced: no newer
  /// owner has published it.
  auto MayReplaceLoad(const std::string& value) -> bool;

  ServiceName pool;
  PublishedRow waiting_row;
  /// The counts that were stored last. There is no row at first, as the claim
  /// of the shard removes it.
  std::string waiting{kNoCounts};
  TimePoint waiting_at;
  PublishedRow load_row;
  PoolLoad load;
  TimePoint load_at;
  /// Fencing token of this ownership, as of the last load.
  std::uint64_t fence = 0;
  /// A newer owner of the shard has published its load.
  bool load_superseded = false;
  BacklogPublisher backlog;
};

/// Timeout of the feed of jobs, after which an owner's counts are no longer
/// current. An idle feed is answered every kFollowWait.
inline constexpr std::chrono::milliseconds kFeedTimeout{2000};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_SHARD_PUBLISHER_H_
