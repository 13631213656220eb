#include <catch2/catch.hpp>
#include <string>

#include "test/process/site.h"

namespace fireflythread::test {

// Guards against a trace that only the entry which served the request can
// show: an operator does not know which one that was.
TEST_CASE("a trace is shown by every entry") {
  Site site;
  const std::string trace_id = "4bf92f3577b34da6a3ce929d0e0e4736";
  const HttpAnswer got =
      site.Call(0, "GET", "take-order",
                {{"traceparent", "00-" + trace_id + "-00f067aa0ba902b7-01"},
                 {"X-Standin-Work-Ms", "1"}});
  REQUIRE(got.status == 200);
  for (std::size_t entry = 0; entry < 3; ++entry) {
    HttpAnswer shown;
    // The links between entries that have just started may not be up yet.
    const bool complete = WaitUntil([&] {
      shown = site.Admin(entry, "GET", "/v1/traces/" + trace_id);
      return shown.status == 200 && shown.Json().at("silent").empty();
    });
    INFO(shown.body);
    REQUIRE(complete);
    CHECK(shown.Json().at("spans").size() >= 3);
  }
  site.Entry(0).Kill();
  const HttpAnswer missing = site.Admin(1, "GET", "/v1/traces/" + trace_id);
  CHECK(missing.status == 404);
}

}  // namespace fireflythread::test
