#include "platform/store_client.h"

#include <glib.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "test/platform/slow_server.h"

namespace fireflythread::adapter {
namespace {

using std::chrono::milliseconds;
using test::SlowServer;

/// Takes 1.9 s to arrive, longer than kIdleTimeout.
const std::string kPage = R"({"ver":7,"rows":[]})";

/// Idle timeout: the longest time without a byte of the answer.
constexpr milliseconds kIdleTimeout{700};

struct ClientFixture {
  SlowServer server{kPage, kPage.size()};
  Logger logger{{},
                LogLevel::kError,
                [](std::string_view) {},
                [] { return WallTime(); }};
  MetricsRegistry metrics;
  StoreClient store{this->server.Address(), this->logger, this->metrics};
};

/// Runs the main loop until there is a result.
template <typename T>
auto Await(const std::optional<T>& result) -> const T& {
  while (!result) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return *result;
}

TEST_CASE("A feed page is read however long it takes to arrive", "[platform]") {
  // Guards against an owner that aborts each feed page of its jobs because of
  // its size, retries from the same revision, and never learns of new jobs and
  // cancellations.
  ClientFixture client;
  std::optional<std::variant<FeedPage, PlatformError>> result;
  client.store.Follow(
      "jobs", 3, milliseconds(0), kIdleTimeout,
      [&result](std::variant<FeedPage, PlatformError> got) { result = got; });
  REQUIRE(std::holds_alternative<FeedPage>(Await(result)));
  CHECK(std::get<FeedPage>(*result).revision == 7);
}

TEST_CASE("A range page is read however long it takes to arrive",
          "[platform]") {
  // Guards against a new owner on a slow link that never loads its jobs.
  ClientFixture client;
  std::optional<std::variant<RangePage, PlatformError>> result;
  client.store.ReadRange(
      {"jobs", "p"}, kIdleTimeout,
      [&result](std::variant<RangePage, PlatformError> got) { result = got; });
  REQUIRE(std::holds_alternative<RangePage>(Await(result)));
  CHECK(std::get<RangePage>(*result).revision == 7);
}

}  // namespace
}  // namespace fireflythread::adapter
