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

/// Table of workers to drain. The key is a worker. The owner of the duty shard
/// adds and removes rows; the owner of the worker's shard marks them as
/// drained.
inline constexpr std::string_view kDrainTable = "vacate";

/// Follows and writes the table of workers to drain.
class DrainTable {
 public:
  /// `on_change` is called after the rows were read and after each change.
  DrainTable(TableStore& store, std::function<void()> on_change);
  DrainTable(const DrainTable&) = delete;
  auto operator=(const DrainTable&) -> DrainTable& = delete;

  /// Starts to read and follow the table, with retries after failures.
  auto Start() -> void;

  /// Returns whether the table has been read.
  [[nodiscard]] auto IsLoaded() const -> bool { return this->loaded; }
  /// Returns the workers to drain, including those that are already drained.
  [[nodiscard]] auto Wanted() const -> std::set<WorkerId>;
  /// Returns the workers that are marked as drained.
  [[nodiscard]] auto Drained() const -> std::set<WorkerId>;

  /// Marks workers that run nothing as drained. Ignores workers without a row
  /// and, while a previous call has no answer yet, all of them.
  auto MarkDrained(const std::vector<WorkerId>& workers) -> void;

  /// Adds and removes rows until they match `workers`, on condition that the
  /// fence row of `shard` has version `fence`. Does nothing while the table is
  /// not loaded or a previous call has no answer yet.
  auto SetWanted(const std::set<WorkerId>& workers,
                 const ServiceName& shard,
                 std::uint64_t fence) -> void;

 private:
  struct Entry {
    std::uint64_t version = 0;
    bool drained = false;
  };

  auto Read() -> void;
  auto Follow() -> void;
  auto ApplyRow(const Row& row) -> void;

  TableStore& store;
  std::function<void()> on_change;
  std::map<WorkerId, Entry> entries;
  std::uint64_t revision = 0;
  bool loaded = false;
  bool marking = false;
  bool writing = false;
  OneShotTimer retry;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_DRAIN_TABLE_H_
