#include "fireflythread/quota/quota_division.h"

#include <catch2/catch.hpp>
#include <cstdint>

#include "fireflythread/base/random.h"
#include "fireflythread/quota/resources.h"

namespace fireflythread::test {
namespace {

auto Cores(std::int64_t held, std::int64_t waiting, std::int64_t largest)
    -> OrganisationUsage {
  return {{held, 0, 0}, {waiting, 0, 0}, {largest, 0, 0}};
}

TEST_CASE("A cap that is enough leaves room in every shard", "[quota]") {
  // A queue whose turn of demand begins. Guards against a shard that must wait
  // for others to give up what they don't use before it starts anything.
  const auto parts =
      DivideCap({10'000, 0, 0}, {Cores(2'000, 1'000, 500), Cores(0, 0, 0)}, 0);
  CHECK(parts[0].millicores >= 3'000);
  CHECK(parts[1].millicores >= 2'000);
  CHECK(parts[0].millicores + parts[1].millicores < 10'000);
  CHECK(parts[0].memory_mb == kNoLimit);
}

TEST_CASE("A scarce cap gives each shard with waiting work a task", "[quota]") {
  // One shard of an organisation asks for a hundred times what another one
  // does. Guards against a small queue that gets less than one task.
  const auto parts =
      DivideCap({10'000, 0, 0},
                {Cores(9'000, 100'000, 2'000), Cores(0, 1'000, 1'000)}, 0);
  CHECK(parts[1].millicores >= 1'000);
  CHECK(parts[0].millicores >= 8'000);
  CHECK(parts[0].millicores + parts[1].millicores <= 10'000);
}

TEST_CASE("Shards take turns when the cap holds one of their tasks",
          "[quota]") {
  // Guards against a job that never starts because another shard's task always
  // comes first.
  const std::vector<OrganisationUsage> usages{Cores(0, 8'000, 8'000),
                                              Cores(0, 8'000, 8'000)};
  CHECK(DivideCap({10'000, 0, 0}, usages, 0)[0].millicores >= 8'000);
  CHECK(DivideCap({10'000, 0, 0}, usages, 1)[1].millicores >= 8'000);
}

TEST_CASE("Parts never add up to more than the cap", "[quota]") {
  Random random(1);
  for (int round = 0; round < 2000; ++round) {
    std::vector<OrganisationUsage> usages;
    const std::size_t shards = 1 + random() % 12;
    for (std::size_t shard = 0; shard < shards; ++shard) {
      const auto task = static_cast<std::int64_t>(1 + random() % 5'000);
      const auto waiting = static_cast<std::int64_t>(random() % 20);
      usages.push_back(Cores(static_cast<std::int64_t>(random() % 50'000),
                             waiting * task, waiting > 0 ? task : 0));
    }
    const auto cap = static_cast<std::int64_t>(1 + random() % 200'000);
    std::int64_t sum = 0;
    for (const TaskSize& part : DivideCap({cap, 0, 0}, usages, round)) {
      CHECK(part.millicores >= 0);
      sum += part.millicores;
    }
    CHECK(sum <= cap);
  }
}

}  // namespace
}  // namespace fireflythread::test
