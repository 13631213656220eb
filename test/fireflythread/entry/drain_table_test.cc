#include "fireflythread/entry/drain_table.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <set>
#include <string>

#include "fireflythread/entry/duty_task.h"
#include "fireflythread/ownership/ownership.h"
#include "test/fireflythread/entry/memory_table_store.h"

namespace fireflythread::test {
namespace {

auto MakeWorkers(int count) -> std::set<WorkerId> {
  std::set<WorkerId> workers;
  for (int number = 0; number < count; ++number) {
    workers.insert(WorkerId("w" + std::to_string(number)));
  }
  return workers;
}

/// The drain table of the entry that owns the duties.
struct DrainTableFixture {
  DrainTableFixture() {
    this->fence =
        this->store.Put(std::string(kFenceTable), std::string(kDutyShard),
                        std::string(kFenceKey), "owner");
    this->table.SetNeeded(true);
    this->store.RunCallbacks();
  }

  auto SetWanted(const std::set<WorkerId>& workers) -> void {
    this->table.SetWanted(workers, ShardName(std::string(kDutyShard)),
                          this->fence);
  }

  [[nodiscard]] auto CountStored(const std::set<WorkerId>& workers) const
      -> std::size_t {
    std::size_t count = 0;
    for (const WorkerId& worker : workers) {
      count += this->store
                       .Find(std::string(kDrainTable), std::string(kDutyShard),
                             worker.value)
                       .has_value()
                   ? 1
                   : 0;
    }
    return count;
  }

  MemoryTableStore store;
  std::uint64_t fence = 0;
  DrainTable table{this->store, [] {}};
};

TEST_CASE("A load peak's workers are all marked without further steps",
          "[entry]") {
  // Guards against a peak on hundreds of VMs whose moves wait for one step of
  // the duties for each 90 workers.
  DrainTableFixture fixture;
  const auto workers = MakeWorkers(330);
  fixture.SetWanted(workers);
  fixture.store.RunCallbacks();
  CHECK(fixture.CountStored(workers) == workers.size());
  CHECK(fixture.table.Wanted() == workers);
  const std::size_t sent = fixture.store.transactions.size();
  CHECK(sent == 4);
  fixture.SetWanted(workers);
  fixture.store.RunCallbacks();
  CHECK(fixture.store.transactions.size() == sent);
  fixture.SetWanted({});
  fixture.store.RunCallbacks();
  CHECK(fixture.CountStored(workers) == 0);
  CHECK(fixture.table.Wanted().empty());
}

TEST_CASE("A refused write of the drain table is not repeated by itself",
          "[entry]") {
  // Guards against a former owner that writes again and again under a fence
  // that it has lost.
  DrainTableFixture fixture;
  fixture.store.Put(std::string(kFenceTable), std::string(kDutyShard),
                    std::string(kFenceKey), "next owner");
  fixture.SetWanted(MakeWorkers(200));
  fixture.store.RunCallbacks();
  CHECK(fixture.store.transactions.size() == 1);
  CHECK(fixture.table.Wanted().empty());
}

}  // namespace
}  // namespace fireflythread::test
