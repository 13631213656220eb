#include "platform/records_client.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "test/fireflythread/entry/fake_table_store.h"

namespace fireflythread::adapter {
namespace {

using test::FakeTableStore;

/// More rows than fit on a page of the store.
constexpr int kWorkers = 700;

TEST_CASE("All workers are listed, however many there are", "[platform]") {
  // Guards against an owner that knows only the workers on the first page of
  // the list.
  FakeTableStore store;
  const Logger logger(
      {}, LogLevel::kError, [](std::string_view) {}, [] { return WallTime(); });
  for (int number = 0; number < kWorkers; ++number) {
    store.Put("servers", "", fmt::format("w{:04}", number),
              R"({"service":"desk","address":"127.0.0.1:1","zone":"z",)"
              R"("state":"ready","born":1,)"
              R"("capacity":{"cpu":1000,"mem_mb":1,"gpu":0},"labels":[]})");
  }
  RecordsClient records(store, logger);
  std::optional<WorkerNews> workers;
  records.ListWorkers(std::chrono::seconds(1), [&workers](auto&& result) {
    workers = std::get<WorkerNews>(result);
  });
  REQUIRE(FakeTableStore::RunUntil([&] { return workers.has_value(); }));
  std::set<WorkerId> ids;
  for (const WorkerEntry& worker : workers->present) {
    ids.insert(worker.view.id);
  }
  CHECK(ids.size() == kWorkers);
}

TEST_CASE("An entry that turned odd is removed, the others stay",
          "[platform]") {
  // Guards against a worker that stays in use after another program has
  // overwritten its entry, and against a page that is lost for one odd entry.
  FakeTableStore store;
  std::string log;
  const Logger logger(
      {}, LogLevel::kWarning, [&log](std::string_view line) { log += line; },
      [] { return WallTime(); });
  const std::string good =
      R"({"service":"desk","address":"127.0.0.1:1","zone":"z","state":"ready",)"
      R"("born":1,"capacity":{"cpu":1000,"mem_mb":1,"gpu":0},"labels":[]})";
  const std::uint64_t before = store.Put("servers", "", "w1", good);
  store.Put("servers", "", "w1",
            R"({"service":"desk","address":"127.0.0.1:99999","zone":"z"})");
  store.Put("servers", "", "w2", good);
  RecordsClient records(store, logger);
  std::optional<WorkerNews> news;
  records.FollowWorkers(
      before, std::chrono::seconds(1), std::chrono::seconds(2),
      [&news](auto&& result) { news = std::get<WorkerNews>(result); });
  REQUIRE(FakeTableStore::RunUntil([&] { return news.has_value(); }));
  REQUIRE(news->removed.size() == 1);
  CHECK(news->removed.front().id == WorkerId("w1"));
  REQUIRE(news->present.size() == 1);
  CHECK(news->present.front().view.id == WorkerId("w2"));
  CHECK(log.find("\"field\":\"address\"") != std::string::npos);
}

}  // namespace
}  // namespace fireflythread::adapter
