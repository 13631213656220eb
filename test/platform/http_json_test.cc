#include "platform/http_json.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <variant>

#include "test/platform/slow_server.h"

namespace fireflythread::adapter {
namespace {

using std::chrono::milliseconds;
using test::SlowServer;

/// Sent in parts that together take longer than kIdleTimeout.
const std::string kBody = R"("xxxxxxxxxx")";

/// Longer than the time to the first or the next part of an answer.
constexpr milliseconds kIdleTimeout{600};

constexpr milliseconds kTotalTimeout{20000};

/// Sends a call and runs the main loop until it has ended.
auto Fetch(const SlowServer& server) -> JsonResult {
  HttpJson http(1);
  std::optional<JsonResult> result;
  http.Send({"GET", server.Address(), "/"},
            HttpLimits{kIdleTimeout, kTotalTimeout},
            [&result](const JsonResult& ended) { result = ended; });
  while (!result) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return *result;
}

TEST_CASE("A large answer on a slow link is not aborted while it arrives",
          "[platform]") {
  // Guards against a reader of the store that has fallen behind and aborts each
  // answer because of its size.
  const SlowServer server(kBody, kBody.size());
  const JsonResult result = Fetch(server);
  REQUIRE(std::holds_alternative<JsonReply>(result));
  CHECK(std::get<JsonReply>(result).body == "xxxxxxxxxx");
}

TEST_CASE("An answer that stops half-way times out", "[platform]") {
  // Guards against a read that waits forever on an unresponsive connection.
  const SlowServer server(kBody, kBody.size() / 2);
  const JsonResult result = Fetch(server);
  REQUIRE(std::holds_alternative<HttpFailure>(result));
  CHECK(std::get<HttpFailure>(result).timed_out);
}

}  // namespace
}  // namespace fireflythread::adapter
