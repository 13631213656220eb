#include "fireflythread/quota/quota_allocator.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "fireflythread/quota/resources.h"

namespace fireflythread::test {
namespace {

const OrganisationName kNorth("north");

/// An allocator with one organisation, and shards that follow each grant.
class AllocatorFixture {
 public:
  AllocatorFixture(std::int64_t cap, int shard_count) {
    this->SetCap(cap);
    for (int index = 0; index < shard_count; ++index) {
      this->usages[Shard(index)];
    }
  }

  static auto Shard(int index) -> ShardName {
    return ShardName("s" + std::to_string(index));
  }

  auto SetCap(std::int64_t cap) -> void {
    this->allocator.caps[kNorth] = {cap, 0, 0};
  }

  auto SetUsage(int shard,
                std::int64_t held,
                std::int64_t waiting,
                std::int64_t largest) -> void {
    this->usages[Shard(shard)].organisations[kNorth] = {
        {held, 0, 0}, {waiting, 0, 0}, {largest, 0, 0}};
  }

  /// Plans until nothing changes; returns the number of grants.
  auto Settle() -> int {
    int grants = 0;
    for (int round = 0; round < 50; ++round) {
      for (const auto& [shard, usage] : this->usages) {
        ApplyUsage(this->allocator, shard, usage);
      }
      const auto changes = PlanGrants(this->allocator);
      for (const GrantChange& change : changes) {
        ApplyGrantResult(this->allocator, change.shard, true);
        this->usages[change.shard].grant_number = change.grant.number;
        ++grants;
      }
      if (changes.empty()) {
        break;
      }
    }
    return grants;
  }

  auto LimitOf(int shard) -> std::int64_t {
    const ShardQuota& quota = this->allocator.shards.at(Shard(shard));
    return SizeOf(quota.grants.back().limits, kNorth).millicores;
  }

  QuotaAllocator allocator;
  std::map<ShardName, QuotaUsage> usages;
};

TEST_CASE("A shard with little work gets a task while others ask for all",
          "[quota]") {
  // Guards against limits that lie a little above their targets in the busy
  // shards and together leave a quiet one without any.
  AllocatorFixture fixture(1'000'000, 4);
  for (const int busy : {0, 2, 3}) {
    fixture.SetUsage(busy, 80'000, 2'000'000, 3'000);
  }
  fixture.Settle();
  fixture.SetUsage(1, 0, 3'000, 3'000);
  fixture.Settle();
  CHECK(fixture.LimitOf(1) >= 3'000);
  fixture.SetUsage(1, 0, 90'000, 3'000);
  fixture.Settle();
  CHECK(fixture.LimitOf(1) >= 6'000);
}

TEST_CASE("A demand of a quarter of the cap is met at once in any shard",
          "[quota]") {
  // Guards against rests that many shards keep after an earlier load.
  for (const int shards : {4, 12, 60, 300}) {
    CAPTURE(shards);
    AllocatorFixture fixture(1'000'000, shards);
    for (int shard = 0; shard < shards; ++shard) {
      fixture.SetUsage(shard, 900'000 / shards, 0, 0);
    }
    fixture.Settle();
    for (int shard = 0; shard < shards; ++shard) {
      fixture.SetUsage(shard, 0, 0, 0);
    }
    fixture.Settle();
    fixture.SetUsage(shards - 1, 0, 250'000, 3'000);
    fixture.Settle();
    CHECK(fixture.LimitOf(shards - 1) >= 250'000);
  }
}

TEST_CASE("A cap that is lowered below what runs lets nothing start",
          "[quota]") {
  // Guards against a shard whose runs end and that starts new ones while
  // another one holds more than the whole cap.
  AllocatorFixture fixture(1'000, 2);
  fixture.SetUsage(0, 500, 500, 10);
  fixture.SetUsage(1, 500, 500, 10);
  fixture.Settle();
  fixture.SetCap(100);
  fixture.Settle();
  CHECK(fixture.LimitOf(0) == 0);
  CHECK(fixture.LimitOf(1) == 0);
  fixture.SetUsage(1, 0, 500, 10);
  fixture.Settle();
  CHECK(fixture.LimitOf(1) == 0);
  fixture.SetUsage(0, 40, 0, 0);
  fixture.Settle();
  CHECK(fixture.LimitOf(1) >= 10);
  CHECK(fixture.LimitOf(1) + std::max<std::int64_t>(40, fixture.LimitOf(0)) <=
        100);
}

TEST_CASE("A load that does not change causes no grants", "[quota]") {
  // Guards against a stream of transactions while a cap is scarce.
  AllocatorFixture fixture(100'000, 4);
  for (int shard = 0; shard < 4; ++shard) {
    fixture.SetUsage(shard, 20'000, 500'000, 3'000);
  }
  CHECK(fixture.Settle() <= 12);
  CHECK(fixture.Settle() == 0);
}

TEST_CASE("A shard without an owner takes no more memory with each grant",
          "[quota]") {
  AllocatorFixture fixture(1'000, 2);
  fixture.SetUsage(0, 0, 10, 10);
  fixture.Settle();
  for (int round = 0; round < 100; ++round) {
    fixture.SetUsage(0, 0, 10 + round * 9, 10);
    for (const auto& [shard, usage] : fixture.usages) {
      ApplyUsage(fixture.allocator, shard, usage);
    }
    for (const GrantChange& change : PlanGrants(fixture.allocator)) {
      ApplyGrantResult(fixture.allocator, change.shard, false);
    }
  }
  CHECK(fixture.allocator.shards.at(AllocatorFixture::Shard(0)).grants.size() <=
        4);
}

TEST_CASE("A shard that no pool has any more gets no room", "[quota]") {
  // Guards against a part of the cap that nobody can use.
  AllocatorFixture fixture(1'000, 2);
  fixture.Settle();
  SetShards(fixture.allocator, {AllocatorFixture::Shard(0)});
  fixture.SetUsage(0, 0, 990, 10);
  fixture.SetUsage(1, 0, 990, 10);
  fixture.Settle();
  CHECK(fixture.LimitOf(0) >= 990);
}

}  // namespace
}  // namespace fireflythread::test
