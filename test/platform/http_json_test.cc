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

/// Arrives in parts that together take longer than kIdleTimeout.
const std::string kBody = R"("xxxxxxxxxx")";

/// No answer needs as long as this for its first or its next part.
constexpr milliseconds kIdleTimeout{600};

constexpr milliseconds kTotalTimeout{20000};

/// Runs the main loop until the call has ended.
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

TEST_CASE("A large answer on a slow link is not given up while it arrives",
          "[platform]") {
  // Guards against a reader of the store that has fallen behind and gives up
  // each answer for its size.
  const SlowServer server(kBody, kBody.size());
  const JsonResult result = Fetch(server);
  REQUIRE(std::holds_alternative<JsonReply>(result));
  CHECK(std::get<JsonReply>(result).body == "xxxxxxxxxx");
}

TEST_CASE("An answer that stops half-way is given up", "[platform]") {
  // Guards against a read that waits for a connection that went silent.
  const SlowServer server(kBody, kBody.size() / 2);
  const JsonResult result = Fetch(server);
  REQUIRE(std::holds_alternative<HttpFailure>(result));
  CHECK(std::get<HttpFailure>(result).timed_out);
}

}  // namespace
}  // namespace fireflythread::adapter
