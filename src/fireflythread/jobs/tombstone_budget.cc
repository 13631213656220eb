#include "fireflythread/jobs/tombstone_budget.h"

#include <algorithm>
#include <chrono>

namespace fireflythread {
namespace {

using Bucket = TombstoneBudget::Bucket;

/// Tombstones that one organisation may write at once, and how many more each
/// second. At the entry's rate, 30 entries write about as many rows as the
/// owner of a single shard removes.
constexpr double kOrganisationBurst = 200;
constexpr double kOrganisationRate = 2;

/// The same for the whole entry.
constexpr double kEntryBurst = 2 * kOrganisationBurst;
constexpr double kEntryRate = 2 * kOrganisationRate;

auto Refill(Bucket& bucket, double burst, double rate, TimePoint now) -> void {
  const std::chrono::duration<double> elapsed = now - bucket.refilled_at;
  bucket.tokens = std::min(burst, bucket.tokens + rate * elapsed.count());
  bucket.refilled_at = now;
}

/// A full bucket is the same as none, so that organisations which are gone take
/// no memory.
auto DropFullBuckets(TombstoneBudget& budget, TimePoint now) -> void {
  for (auto& [organisation, bucket] : budget.organisations) {
    Refill(bucket, kOrganisationBurst, kOrganisationRate, now);
  }
  std::erase_if(budget.organisations, [](const auto& entry) -> bool {
    return entry.second.tokens >= kOrganisationBurst;
  });
}

}  // namespace

auto TryTake(TombstoneBudget& budget,
             const OrganisationName& caller,
             TimePoint now) -> bool {
  if (!budget.entry) {
    budget.entry = Bucket{kEntryBurst, now};
  }
  Refill(*budget.entry, kEntryBurst, kEntryRate, now);
  DropFullBuckets(budget, now);
  const auto bucket =
      budget.organisations.try_emplace(caller, Bucket{kOrganisationBurst, now})
          .first;
  if (budget.entry->tokens < 1 || bucket->second.tokens < 1) {
    return false;
  }
  budget.entry->tokens -= 1;
  bucket->second.tokens -= 1;
  return true;
}

}  // namespace fireflythread
