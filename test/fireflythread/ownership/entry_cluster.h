#ifndef TEST_FIREFLYTHREAD_OWNERSHIP_ENTRY_CLUSTER_H_
#define TEST_FIREFLYTHREAD_OWNERSHIP_ENTRY_CLUSTER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fireflythread/ownership/handover_plan.h"
#include "fireflythread/ownership/ownership.h"

namespace fireflythread::test {

/// Simulates entries that share the tables `entry` and `shard`, in virtual
/// time. Each entry renews its row once a second, claims shards and hands them
/// over.
class EntryCluster {
 public:
  explicit EntryCluster(std::set<ShardName> shards);

  /// Starts a new process of the entry.
  auto Start(const std::string& entry, EntryCapacity capacity) -> void;
  /// Ends the entry's process without releasing its shards.
  auto Kill(const std::string& entry) -> void;
  /// Advances the time by one second: all entries renew their rows and claim
  /// shards, then plan handovers from the same rows.
  auto Tick() -> void;
  auto Tick(int seconds) -> void;

  [[nodiscard]] auto OwnerOf(const std::string& shard) const -> std::string;
  [[nodiscard]] auto View(const std::string& entry) -> OwnershipState& {
    return this->views.at(entry);
  }

  TimePoint now{std::chrono::hours(1)};
  /// Handovers in the order in which they took place.
  std::vector<HandoverPlan> handovers;
  /// Number of handovers after which an entry other than the preferred one
  /// claimed the shard.
  int misdirected = 0;

 private:
  using RowKey = std::pair<std::string, std::string>;

  auto Apply(const Transaction& transaction) -> void;
  auto ReadRows() -> void;
  auto Claim() -> void;
  auto HandOver() -> void;

  std::set<ShardName> wanted;
  std::map<std::string, OwnershipState> views;
  std::map<RowKey, Row> rows;
  std::uint64_t revision = 0;
  std::uint64_t incarnation = 0;
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_OWNERSHIP_ENTRY_CLUSTER_H_
