#include "fireflythread/jobs/pool_parts.h"

#include <fmt/format.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {
namespace {

const ServiceName kPool("desk");

TEST_CASE("The part of a job and of a worker never changes", "[jobs]") {
  // Guards against two versions, or two kinds of processor, that accept a job
  // in different shards or send orders of two owners to one worker.
  CHECK(PartOfJob(kPool, 10, JobId("5c0e7a21d94b36f8")).index == 7);
  CHECK(PartOfJob(kPool, 10, JobId("0000000000000000")).index == 8);
  CHECK(PartOfWorker(WorkerId("i-7f3a91c2"), 10) == 2);
}

TEST_CASE("Each worker belongs to exactly one part", "[jobs]") {
  constexpr int kParts = 4;
  constexpr int kWorkers = 266;
  std::vector<int> sizes(kParts);
  for (int number = 0; number < kWorkers; ++number) {
    const WorkerId worker(fmt::format("i-{:08x}", number));
    for (int index = 0; index < kParts; ++index) {
      sizes[static_cast<std::size_t>(index)] +=
          HasWorker({kPool, index, kParts}, worker) ? 1 : 0;
    }
  }
  int sum = 0;
  for (const int size : sizes) {
    sum += size;
    CHECK(size > 0);
  }
  CHECK(sum == kWorkers);
}

TEST_CASE("A small pool is one shard under the name of the pool", "[jobs]") {
  // Guards against state of earlier versions that is not found any more.
  CHECK(PartCountFor(0) == 1);
  CHECK(PartCountFor(12) == 1);
  CHECK(PartCountFor(85) == 1);
  CHECK(ShardOf({kPool, 0, 1}) == ShardName("desk"));
  CHECK(PartCountFor(266) == 4);
  CHECK(ShardOf({kPool, 3, 10}) == ShardName("desk.10.3"));
}

TEST_CASE("All shards of hundreds of workers fit into the store's tables",
          "[jobs]") {
  // The store has 100 tables at most, and each shard has one of its own.
  constexpr int kPools = 4;
  constexpr int kOtherTables = 20;
  CHECK(kPools * PartCountFor(19000) + kOtherTables < 100);
}

TEST_CASE("The number of parts is written once and kept", "[jobs]") {
  // Guards against jobs that are not found after the pool has grown.
  Configuration configuration;
  configuration.services = {{kPool, false, false},
                            {ServiceName("spare"), true, false}};
  PoolParts parts;
  CHECK(PoolsWithoutParts(parts, configuration) ==
        std::vector<ServiceName>{kPool});
  const Transaction first = MakePoolParts({kPool}, {{kPool, 240}}, {});
  REQUIRE(first.conditions.size() == 1);
  CHECK(first.conditions.front().version == 0);
  ApplyPoolParts(parts, {{std::string(kPoolPartsTable), kPool.value, 5,
                          *first.writes.front().value, ""}});
  CHECK(PoolsWithoutParts(parts, configuration).empty());
  CHECK(PartsOf(parts, kPool).size() == 4);
}

TEST_CASE("A pool that an older version runs stays one shard", "[jobs]") {
  // Guards against jobs of the older version that no owner looks after.
  CHECK(*MakePoolParts({kPool}, {{kPool, 240}}, {kPool}).writes.front().value ==
        "1");
}

TEST_CASE("Unreadable numbers of parts are ignored", "[jobs]") {
  PoolParts parts;
  for (const char* value : {"", "0", "-1", "x", "3x", "99999999999", "1001"}) {
    ApplyPoolParts(parts,
                   {{std::string(kPoolPartsTable), kPool.value, 1, value, ""}});
    CHECK(parts.counts.empty());
    CHECK_FALSE(FindPartOfJob(parts, kPool, JobId("a")).has_value());
    CHECK(PartsOf(parts, kPool).empty());
  }
}

}  // namespace
}  // namespace fireflythread
