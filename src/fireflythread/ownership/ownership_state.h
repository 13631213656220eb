#ifndef FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_STATE_H_
#define FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_STATE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/ownership/ended_ownership.h"
#include "fireflythread/ownership/entry_capacity.h"

namespace fireflythread {

/// An entry's row as last read. An entry renews its row once a second, so a row
/// whose version stays the same belongs to an entry that has ended or cannot
/// reach the store.
struct EntryView {
  std::uint64_t incarnation = 0;
  bool stopping = false;
  std::uint64_t version = 0;
  /// Time at which this version was first read.
  TimePoint changed_at;
  /// Address at which the entry listens for peers; empty if it accepts no
  /// relayed orders.
  std::string peer = {};
  /// Unknown for an entry whose software version does not publish it.
  EntryCapacity capacity = {};
  /// Time since which this process has renewed its row without a gap of
  /// kEntryTimeout or more.
  TimePoint alive_since = {};
  /// Shards that this process has ceased to own lately.
  std::map<ShardName, EndedOwnership> ended = {};
};

/// A shard's row as last read. `owner` is empty after a release.
struct ShardOwner {
  EntryId owner;
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  /// After a release, the workers returned by UnresponsiveWorkers(), each with
  /// the time that its lease may still be valid.
  std::map<WorkerId, std::chrono::milliseconds> unresponsive_workers = {};
  /// Time at which this version was first read.
  TimePoint changed_at = {};
};

/// What an entry knows about all entries and about the owners of the shards.
struct OwnershipState {
  EntryId self;
  std::uint64_t incarnation = 0;
  bool stopping = false;
  /// Address at which this entry listens for peers; may be empty.
  std::string peer = {};
  /// Capacity of this entry.
  EntryCapacity capacity;
  /// Shards that this entry has ceased to own lately.
  std::map<ShardName, EndedOwnership> ended;
  std::map<EntryId, EntryView> entries;
  std::map<ShardName, ShardOwner> shards;
  /// Shards that must have an owner.
  std::set<ShardName> wanted;
  /// Time at which the entries were last read.
  TimePoint entries_read_at;
  bool entries_read = false;
  bool shards_read = false;
};

/// An entry whose row is unchanged for this long is considered to have ended.
inline constexpr std::chrono::milliseconds kEntryTimeout{3000};

/// An entry that is not among the first to claim a shard reads the entries'
/// rows once in this many renewals.
inline constexpr int kSlowReadRenewals = 4;

/// Number of entries that are expected to claim the next shards without an
/// owner, and so read the entries' rows at each renewal.
inline constexpr std::size_t kFirstClaimants = 12;

/// Period at which an entry renews its row.
inline constexpr std::chrono::milliseconds kEntryRenewal{1000};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_OWNERSHIP_STATE_H_
