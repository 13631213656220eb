#ifndef FIREFLYTHREAD_ENTRY_SHARD_PUBLISHER_H_
#define FIREFLYTHREAD_ENTRY_SHARD_PUBLISHER_H_

#include <map>

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
/// time.
class ShardPublisher {
 public:
  explicit ShardPublisher(TableStore& store);
  ShardPublisher(const ShardPublisher&) = delete;
  auto operator=(const ShardPublisher&) -> ShardPublisher& = delete;

  auto Publish(ShardState& state) -> void;

 private:
  auto PublishWaiting(const ShardState& state, TimePoint now) -> void;
  auto PublishLoad(ShardState& state, TimePoint now) -> void;

  TableStore& store;
  std::map<QueueName, int> waiting;
  TimePoint waiting_at;
  bool waiting_stored = false;
  bool storing_waiting = false;
  PoolLoad load;
  TimePoint load_at;
  bool storing_load = false;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_SHARD_PUBLISHER_H_
