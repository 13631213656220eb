#include "fireflythread/entry/worker_directory.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "test/fireflythread/entry/fake_table_store.h"

namespace fireflythread::test {
namespace {

auto MakeEntry(const std::string& id, std::uint64_t version) -> WorkerEntry {
  WorkerEntry entry;
  entry.view.id = WorkerId(id);
  entry.version = version;
  return entry;
}

/// Records whose answers the test gives.
class ScriptedRecords : public PlatformRecords {
 public:
  auto ListWorkers(Duration /*timeout*/, Callback<WorkerNews> callback)
      -> void override {
    this->list = std::move(callback);
  }
  auto FollowWorkers(std::uint64_t after,
                     Duration /*wait*/,
                     Duration /*timeout*/,
                     Callback<WorkerNews> callback) -> void override {
    this->followed_after = after;
    this->follow = std::move(callback);
  }
  auto ReadOperator(Duration /*timeout*/, Callback<OperatorNews> /*callback*/)
      -> void override {}
  auto FollowOperator(std::uint64_t /*after*/,
                      Duration /*wait*/,
                      Duration /*timeout*/,
                      Callback<OperatorNews> /*callback*/) -> void override {}
  [[nodiscard]] auto WaveStatus(std::int64_t /*wave*/, bool /*completed*/) const
      -> Write override {
    return {};
  }

  Callback<WorkerNews> list;
  Callback<WorkerNews> follow;
  std::optional<std::uint64_t> followed_after;
};

struct DirectoryFixture {
  ScriptedRecords records;
  int changes = 0;
  WorkerDirectory directory{this->records, [this] { ++this->changes; }};

  auto Load() -> void {
    this->directory.SetNeeded(true);
    WorkerNews list;
    list.present = {MakeEntry("a", 3), MakeEntry("b", 4)};
    list.revision = 5;
    this->records.list(list);
  }

  [[nodiscard]] auto Has(const std::string& id) const -> bool {
    return this->directory.List().contains(WorkerId(id));
  }
};

TEST_CASE("An entry without a shard reads no registrations", "[entry]") {
  // Guards against a cost of each entry that grows with the number of workers.
  DirectoryFixture fixture;
  CHECK_FALSE(fixture.records.list);
  fixture.Load();
  CHECK(fixture.directory.IsLoaded());
  CHECK(fixture.records.followed_after == 5);
  fixture.directory.SetNeeded(false);
  CHECK(fixture.directory.List().empty());
}

TEST_CASE("Registrations are followed in the order of their versions",
          "[entry]") {
  // Guards against a worker that has left and is in use again because an older
  // row arrives later.
  DirectoryFixture fixture;
  fixture.Load();
  WorkerNews news;
  news.present = {MakeEntry("c", 7)};
  news.removed = {{WorkerId("a"), 8}, {WorkerId("b"), 2}};
  news.revision = 8;
  fixture.records.follow(news);
  CHECK_FALSE(fixture.Has("a"));
  CHECK(fixture.Has("b"));
  CHECK(fixture.Has("c"));
  CHECK(fixture.changes == 2);
  CHECK(FakeTableStore::RunUntil(
      [&] { return fixture.records.followed_after == 8; }));
}

TEST_CASE("Registrations are read again after the history was lost",
          "[entry]") {
  // Guards against a worker that left while the history was dropped.
  DirectoryFixture fixture;
  fixture.Load();
  fixture.records.list = nullptr;
  WorkerNews lost;
  lost.history_lost = true;
  fixture.records.follow(lost);
  CHECK(fixture.Has("a"));
  REQUIRE(FakeTableStore::RunUntil(
      [&] { return static_cast<bool>(fixture.records.list); }));
  WorkerNews list;
  list.present = {MakeEntry("b", 4)};
  list.revision = 20;
  fixture.records.list(list);
  CHECK_FALSE(fixture.Has("a"));
  CHECK(fixture.records.followed_after == 20);
}

TEST_CASE("A late answer has no effect once registrations are not needed",
          "[entry]") {
  // Guards against workers of a shard that this entry has lost.
  DirectoryFixture fixture;
  fixture.Load();
  const auto late = fixture.records.follow;
  fixture.directory.SetNeeded(false);
  WorkerNews news;
  news.present = {MakeEntry("c", 7)};
  late(news);
  CHECK(fixture.directory.List().empty());
}

}  // namespace
}  // namespace fireflythread::test
