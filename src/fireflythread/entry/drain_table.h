#ifndef FIREFLYTHREAD_ENTRY_DRAIN_TABLE_H_
#define FIREFLYTHREAD_ENTRY_DRAIN_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/platform/table_store.h"

namespace fireflythread {

/// Table of workers to drain, in the part of the duty shard. The key is a
/// worker. The owner of the duty shard adds and removes rows; the owner of the
/// worker's shard marks them as drained.
inline constexpr std::string_view kDrainTable = "vacate";

/// Follows and writes the table of workers to drain, for as long as it is
/// needed, that is while this entry owns a shard.
class DrainTable {
 public:
  /// `on_change` is called after the rows were read and after each change.
  DrainTable(TableStore& store, std::function<void()> on_change);
  DrainTable(const DrainTable&) = delete;
  auto operator=(const DrainTable&) -> DrainTable& = delete;

  /// Sets whether the table is needed. Starts to read and follow it, with
  /// retries after failures, or stops and forgets it.
  auto SetNeeded(bool is_needed) -> void;

  /// Returns whether the table has been read.
  [[nodiscard]] auto IsLoaded() const -> bool { return this->loaded; }
  /// Returns the workers to drain, including those that are already drained.
  [[nodiscard]] auto Wanted() const -> std::set<WorkerId>;
  /// Returns the workers that are marked as drained.
  [[nodiscard]] auto Drained() const -> std::set<WorkerId>;

  /// Marks workers that run nothing as drained. Ignores workers without a row
  /// and, while a previous call has no answer yet, all of them.
  auto MarkDrained(const std::vector<WorkerId>& workers) -> void;

  /// Adds and removes rows until they match `workers`, in as many transactions
  /// as it takes. A row whose removal got no answer is written again if its
  /// worker is wanted, so that a late removal doesn't find the version that it
  /// requires. All is on condition that the fence row of `shard` has version
  /// `fence`. Does nothing while the table is not loaded or a previous call is
  /// not finished.
  auto SetWanted(const std::set<WorkerId>& workers,
                 const ShardName& shard,
                 std::uint64_t fence) -> void;

 private:
  struct Entry {
    std::uint64_t version = 0;
    bool drained = false;
    /// A removal of the row got no answer and may be carried out.
    bool may_be_removed = false;
  };

  auto Read() -> void;
  auto Follow() -> void;
  auto ApplyRow(const Row& row) -> void;
  auto AddAdditions(const std::set<WorkerId>& workers,
                    Transaction& transaction) const -> void;
  auto AddRemovals(const std::set<WorkerId>& workers,
                   Transaction& transaction) const -> void;
  /// Notes that the removals among these writes got no answer.
  auto MarkMayBeRemoved(const std::vector<Write>& writes) -> void;
  auto ApplyRemoval(const WorkerId& worker, std::uint64_t version) -> void;
  /// Applies writes of this entry that committed with this version.
  auto ApplyWrites(const std::vector<Write>& writes, std::uint64_t version)
      -> void;

  TableStore& store;
  std::function<void()> on_change;
  std::map<WorkerId, Entry> entries;
  std::uint64_t revision = 0;
  bool needed = false;
  bool loaded = false;
  bool marking = false;
  bool writing = false;
  OneShotTimer retry;
  /// Replaced when the table is not needed any more, so that the answer to a
  /// call in flight has no effect.
  AliveToken followed;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_DRAIN_TABLE_H_
