#ifndef FIREFLYTHREAD_ENTRY_BACKLOG_PUBLISHER_H_
#define FIREFLYTHREAD_ENTRY_BACKLOG_PUBLISHER_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/entry/published_row.h"
#include "fireflythread/jobs/backlog.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/platform/table_store.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Publishes a shard's backlog while it is long enough for a refusal, and once
/// more when it is not any more. Idle where no organisations are configured.
class BacklogPublisher {
 public:
  BacklogPublisher(TableStore& store,
                   const Logger& logger,
                   const ShardName& shard);
  BacklogPublisher(const BacklogPublisher&) = delete;
  auto operator=(const BacklogPublisher&) -> BacklogPublisher& = delete;

  /// Stores the backlog when it is due.
  auto Publish(ShardState& state, WallTime wall_now, TimePoint now) -> void;

 private:
  /// Returns whether the shard's row may be replaced: no newer owner has
  /// written it.
  auto MayReplace(const std::string& value) -> bool;
  auto LogChange(const ShardState& state, WorkTime wait) -> void;

  const Logger& logger;
  PublishedRow row;
  CapWaits cap_waits;
  /// The value that was stored last; empty while the row holds no work of this
  /// owner.
  std::string published;
  TimePoint measured_at;
  TimePoint published_at;
  /// Fencing token of this ownership, as of the last write.
  std::uint64_t fence = 0;
  /// A newer owner of the shard has written the row.
  bool superseded = false;
  /// A backlog was found at the last look.
  bool has_backlog = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_BACKLOG_PUBLISHER_H_
