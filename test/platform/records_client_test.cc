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
  std::optional<std::vector<WorkerView>> workers;
  records.ListWorkers(std::chrono::seconds(1), [&workers](auto&& result) {
    workers = std::get<std::vector<WorkerView>>(result);
  });
  REQUIRE(FakeTableStore::RunUntil([&] { return workers.has_value(); }));
  std::set<WorkerId> ids;
  for (const WorkerView& worker : *workers) {
    ids.insert(worker.id);
  }
  CHECK(ids.size() == kWorkers);
}

}  // namespace
}  // namespace fireflythread::adapter
