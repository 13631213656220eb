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

/// Key is a worker that is to be emptied. The owner of the VMs' duties adds
/// and removes rows; the owner of the worker's shard marks them as vacated.
inline constexpr std::string_view kDrainTable = "vacate";

/// Follows the workers that are to be emptied.
class DrainTable {
 public:
  DrainTable(TableStore& store, std::function<void()> on_change);
  DrainTable(const DrainTable&) = delete;
  auto operator=(const DrainTable&) -> DrainTable& = delete;

  auto Start() -> void;

  /// Whether the table has been read.
  [[nodiscard]] auto IsLoaded() const -> bool { return this->loaded; }
  [[nodiscard]] auto Wanted() const -> std::set<WorkerId>;
  [[nodiscard]] auto Drained() const -> std::set<WorkerId>;

  /// Marks workers that run nothing.
  auto MarkDrained(const std::vector<WorkerId>& workers) -> void;

  /// Makes the rows those of `workers`, while the fence row of `shard` has
  /// version `fence`.
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
