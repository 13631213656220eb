#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "test/fireflythread/gateway/gateway_fixture.h"

namespace fireflythread {

namespace {

using Mode = FakePlatform::Mode;

const GatewayFixture::Headers kKey = {{"Idempotency-Key", "t1"}};

auto Field(const CallerAnswer& answer, const char* name) -> std::string {
  return nlohmann::json::parse(answer.body).at(name).get<std::string>();
}

}  // namespace

// Guards against an accepted task that is lost, or placed twice because its
// caller repeated it, and against one that another caller can read.
TEST_CASE("a task is accepted once its row is written, once for a key") {
  GatewayFixture fixture;
  fixture.Apply();
  fixture.platform.mode = GENERATE(Mode::kAvailable, Mode::kLosingAnswers);
  const CallerAnswer first =
      fixture.Call("POST", "/s/orders/tasks", kKey, "wear analysis");
  REQUIRE(first.status == 202);
  const std::string id = Field(first, "id");
  CHECK(fixture.platform.Find("task", id) != nullptr);
  const CallerAnswer repeat =
      fixture.Call("POST", "/s/orders/tasks", kKey, "wear analysis");
  CHECK(repeat.status == 202);
  CHECK(Field(repeat, "id") == id);
  CHECK(fixture.platform.rows.size() == 1);
  CHECK(fixture.Call("POST", "/s/orders/tasks", kKey, "other").status == 422);
  const std::string path = "/s/orders/tasks/" + id;
  CHECK(Field(fixture.Call("GET", path), "state") == "queued");
  CHECK(fixture.Call("GET", "/s/orders/tasks/t-none").status == 404);
  const CallerAnswer cancelled = fixture.Call("DELETE", path);
  CHECK(cancelled.status == 202);
  CHECK(Field(fixture.Call("GET", path), "state") == "cancelling");
}

// Guards against 202 for a task whose row is not written, and "not run" for
// one that may be.
TEST_CASE("a task whose row is not known to be written is not accepted") {
  GatewayFixture fixture;
  fixture.Apply();
  fixture.platform.mode = Mode::kRefusing;
  const CallerAnswer refused =
      fixture.Call("POST", "/s/orders/tasks", kKey, "x");
  CHECK(refused.status == 503);
  CHECK(refused.outcome == "not-run");
  fixture.platform.mode = Mode::kSilent;
  const CallerAnswer unknown =
      fixture.Call("POST", "/s/orders/tasks", kKey, "x");
  CHECK(unknown.status == 504);
  CHECK(unknown.outcome == "unknown");
  CHECK(fixture.Call("POST", "/s/orders/tasks", kKey, "\xff").status == 400);
  CHECK(fixture.Call("POST", "/s/orders/tasks", {{"Idempotent", "true"}}, "x")
            .reason == "idempotency-key-missing");
}

}  // namespace fireflythread
