#ifndef TEST_FIREFLYTHREAD_QUOTA_QUOTA_SIMULATION_H_
#define TEST_FIREFLYTHREAD_QUOTA_QUOTA_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "fireflythread/base/random.h"
#include "fireflythread/jobs/organisation_quota.h"
#include "fireflythread/quota/quota_allocator.h"

namespace fireflythread::test {

/// Plays the division of one organisation's cap in steps: an allocator and the
/// owners of some shards that exchange grants and usages by rows of a store.
/// Writes are carried out late or lose their answers; the allocator and owners
/// are replaced, and late writes of the replaced ones still arrive.
class QuotaSimulation {
 public:
  /// A part of the protocol that is left out, to see that the simulation
  /// notices.
  enum class Defect : std::uint8_t {
    kNone,
    /// The allocator takes a lowered limit to hold as soon as it is written.
    kNoAcknowledgement,
    /// A new owner does not count the runs that it finds.
    kUsageForgotten,
    /// The allocator counts what the shards hold and not what they may.
    kLimitsIgnored
  };
  struct Setup {
    std::uint64_t seed = 1;
    int shards = 4;
    int steps = 3000;
    /// The cap is lowered and raised now and then.
    bool changes_cap = false;
    Defect defect = Defect::kNone;
  };

  explicit QuotaSimulation(const Setup& setup);

  auto Run() -> void;

  /// Returns the most that the runs held at a start, as a multiple of the cap.
  [[nodiscard]] auto WorstUse() const -> double { return this->worst_use; }
  /// Returns the longest time, in steps, for which a shard had waiting work and
  /// nothing running while the cap was not half used and nothing failed.
  [[nodiscard]] auto LongestWait() const -> int { return this->longest_wait; }

 private:
  /// A row of the store with the fence of its writer.
  struct StoredGrant {
    QuotaGrant grant;
    int version = 0;
  };
  struct StoredUsage {
    QuotaUsage usage;
    int version = 0;
  };
  struct Owner {
    OrganisationQuota quota;
    QuotaUsage sent;
    int usage_version = 0;
    bool has_sent = false;
  };
  struct Shard {
    Owner owner;
    int fence = 1;
    int waiting = 0;
    int task = 1;
    /// Ends of the runs, by step.
    std::vector<int> runs;
    StoredGrant grant;
    StoredUsage usage;
    int waits_since = -1;
  };

  auto StepOwner(Shard& shard) -> void;
  auto StepAllocator() -> void;
  auto ReplaceOwner(Shard& shard) -> void;
  auto ReplaceAllocator() -> void;
  auto PublishUsage(Shard& shard) -> void;
  auto WriteGrant(const GrantChange& change) -> void;
  auto RunLate() -> void;
  auto ChangeCap() -> void;
  /// Returns the highest cap of the last steps.
  [[nodiscard]] auto HighestRecentCap() const -> std::int64_t;
  auto RecordWait(Shard& shard) -> void;
  [[nodiscard]] auto HeldBy(const Shard& shard) const -> std::int64_t;
  [[nodiscard]] auto TotalHeld() const -> std::int64_t;
  auto Chance(int one_in) -> bool;

  Setup setup;
  Random random;
  std::int64_t cap = 100;
  std::deque<std::int64_t> recent_caps;
  QuotaAllocator allocator;
  std::map<ShardName, int> grant_versions;
  int allocator_fence = 1;
  std::map<ShardName, Shard> shards;
  std::deque<std::function<void()>> late;
  int now = 0;
  int calm_since = 0;
  double worst_use = 0.0;
  int longest_wait = 0;
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_QUOTA_QUOTA_SIMULATION_H_
