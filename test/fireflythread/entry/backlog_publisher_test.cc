#include "fireflythread/entry/backlog_publisher.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "fireflythread/entry/backlog_tables.h"
#include "fireflythread/jobs/backlog_codec.h"
#include "test/fireflythread/entry/memory_table_store.h"
#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {
namespace {

/// An owner of the shard "desk" with one organisation, on virtual time.
struct BacklogOwner {
  BacklogOwner(MemoryTableStore& table_store, std::uint64_t fence)
      : store(table_store),
        shard(1),
        publisher(table_store, this->logger, this->shard.state.shard) {
    this->shard.state.fence = fence;
    SetOrganisations(this->shard.state.shares, {{OrganisationName("org"), 1}});
  }

  /// Adds work for half a minute, most of which waits.
  auto AddPeak() -> void {
    JobStep step = ShardFixture::Step(240, 1000);
    this->shard.AddJob("a", step, OrganisationName("org"));
    (void)this->shard.StartAll();
  }
  auto EndPeak() -> void {
    this->shard.state.jobs.clear();
    this->shard.state.has_backlog = false;
  }
  auto Run(milliseconds time) -> void {
    constexpr milliseconds kTick{100};
    for (milliseconds passed{0}; passed < time; passed += kTick) {
      this->shard.Advance(kTick);
      this->publisher.Publish(this->shard.state, this->shard.wall_now,
                              this->shard.now);
      this->store.RunCallbacks();
    }
  }

  MemoryTableStore& store;
  Logger logger{{},
                LogLevel::kError,
                [](std::string_view) {},
                [] { return WallTime(); }};
  ShardFixture shard;
  BacklogPublisher publisher;
};

auto StoredRow(const MemoryTableStore& store) -> std::optional<BacklogRow> {
  const auto value =
      store.Find(std::string(kBacklogTable), std::string(kBacklogPart), "desk");
  return value ? DecodeBacklog(*value) : std::nullopt;
}

TEST_CASE("A backlog is published while it matters", "[entry]") {
  // Guards against writes in calm, and against estimates that entries take for
  // outdated while the overload lasts.
  MemoryTableStore store;
  BacklogOwner owner(store, 7);
  owner.Run(milliseconds(5000));
  CHECK(store.transactions.empty());
  owner.AddPeak();
  owner.Run(milliseconds(600));
  REQUIRE(StoredRow(store));
  CHECK(StoredRow(store)->fence == 7);
  CHECK(LongestWait(StoredRow(store)->backlog) > WorkTime(20000));
  // The value stays the same. It is written each second at least, and not more
  // than each half a second.
  const std::size_t before = store.transactions.size();
  owner.Run(milliseconds(10000));
  CHECK(store.transactions.size() - before >= 10);
  CHECK(store.transactions.size() - before <= 20);
  owner.EndPeak();
  owner.Run(milliseconds(1000));
  CHECK(LongestWait(StoredRow(store)->backlog) == WorkTime(0));
  const std::size_t ended = store.transactions.size();
  owner.Run(milliseconds(10000));
  CHECK(store.transactions.size() == ended);
}

TEST_CASE("A short backlog is not published", "[entry]") {
  // Guards against writes for waits that refuse nothing: any job is of use for
  // 1,800 ms at least, three times the latency objective of the only queue.
  MemoryTableStore store;
  BacklogOwner owner(store, 7);
  owner.shard.AddJob("a", ShardFixture::Step(20, 1000),
                     OrganisationName("org"));
  (void)owner.shard.StartAll();
  owner.Run(milliseconds(3000));
  CHECK(store.transactions.empty());
}

TEST_CASE("Without organisations no backlog is published", "[entry]") {
  MemoryTableStore store;
  BacklogOwner owner(store, 7);
  SetOrganisations(owner.shard.state.shares, {});
  owner.AddPeak();
  owner.Run(milliseconds(5000));
  CHECK(store.transactions.empty());
}

TEST_CASE("The end of a backlog is published after lost answers", "[entry]") {
  // Guards against a row that says that jobs wait when none do.
  using CommitResult = MemoryTableStore::CommitResult;
  MemoryTableStore store;
  BacklogOwner owner(store, 7);
  SECTION("of its first write") {
    store.commit_results = {CommitResult::kAnswerLost};
  }
  SECTION("of its last write") {
    owner.AddPeak();
    owner.Run(milliseconds(600));
    store.commit_results = {CommitResult::kLate, CommitResult::kRefused};
  }
  owner.AddPeak();
  owner.Run(milliseconds(600));
  owner.EndPeak();
  owner.Run(milliseconds(3000));
  store.CarryOutLate();
  REQUIRE(StoredRow(store));
  CHECK(LongestWait(StoredRow(store)->backlog) == WorkTime(0));
}

TEST_CASE("A new owner replaces the backlog of the former one", "[entry]") {
  // Guards against a former owner that was paused and writes an outdated
  // backlog afterwards, and against a new one that is locked out of the row.
  MemoryTableStore store;
  BacklogOwner former(store, 7);
  former.AddPeak();
  former.Run(milliseconds(600));
  REQUIRE(StoredRow(store)->fence == 7);
  BacklogOwner next(store, 9);
  next.Run(milliseconds(2000));
  // In calm it needs no write: entries take the row for outdated.
  CHECK(StoredRow(store)->fence == 7);
  next.AddPeak();
  next.Run(milliseconds(1200));
  CHECK(StoredRow(store)->fence == 9);
  former.Run(milliseconds(5000));
  CHECK(StoredRow(store)->fence == 9);
}

}  // namespace
}  // namespace fireflythread::test
