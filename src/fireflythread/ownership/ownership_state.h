#ifndef FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_STATE_H_
#define FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/ownership/entry_capacity.h"

namespace fireflythread {

/// An entry's row as last read. An entry renews its row once a second, so a
/// row whose version stays the same is of an entry that is gone or cut off.
struct EntryView {
  std::uint64_t incarnation = 0;
  bool stopping = false;
  std::uint64_t version = 0;
  /// When this version was first seen.
  TimePoint changed_at;
  /// Where the entry listens for peers; empty when it takes no relayed orders.
  std::string peer = {};
  /// Nothing is known of an entry of a version that does not publish it.
  EntryCapacity capacity = {};
  /// Since when this process has been seen to renew without a pause of
  /// kEntryTimeout.
  TimePoint alive_since = {};
};

/// A shard's row as last read. `owner` is empty after a release.
struct ShardOwner {
  EntryId owner;
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  /// After a release: what UnresponsiveWorkers() gave.
  std::map<WorkerId, std::chrono::milliseconds> unresponsive_workers = {};
  /// When this version was first seen.
  TimePoint changed_at = {};
};

/// What an entry knows of all entries and of who owns which shard.
struct OwnershipState {
  EntryId self;
  std::uint64_t incarnation = 0;
  bool stopping = false;
  /// Where this entry listens for peers; may be empty.
  std::string peer = {};
  /// Of this entry.
  EntryCapacity capacity;
  std::map<EntryId, EntryView> entries;
  std::map<ServiceName, ShardOwner> shards;
  /// Shards that must have an owner.
  std::set<ServiceName> wanted;
  /// When the entries were read last.
  TimePoint entries_read_at;
  bool entries_read = false;
  bool shards_read = false;
};

/// An entry's row that is unchanged for this long is of an entry that is gone.
inline constexpr std::chrono::milliseconds kEntryTimeout{3000};

/// Period in which an entry renews its row.
inline constexpr std::chrono::milliseconds kEntryRenewal{1000};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_STATE_H_
