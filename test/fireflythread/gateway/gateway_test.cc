#include <catch2/catch.hpp>

#include "fireflythread/base/io_clock.h"
#include "test/fireflythread/gateway/gateway_fixture.h"

namespace fireflythread {

// Guards against a request that does not reach the worker as the caller sent
// it, and an answer that does not come back whole.
TEST_CASE("a request goes to a worker and its answer to the caller") {
  TestBackend backend([](const std::string&) {
    return TestBackend::Reply{
        "HTTP/1.1 201 Created\r\nContent-Type: text/x-order\r\n"
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"};
  });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());

  const CallerAnswer answer = fixture.Call(
      "PUT", "/s/orders/cut/7?size=%2F",
      {{"X-Order", "7"}, {"Fireflythread-Deadline-Ms", "4000"}}, "sheet");

  CHECK(answer.status == 201);
  CHECK(answer.body == "abcde");
  CHECK(answer.outcome == "answered");
  CHECK(answer.content_type == "text/x-order");
  REQUIRE(backend.requests.size() == 1);
  const std::string& request = backend.requests.front();
  CHECK(request.starts_with("PUT /cut/7?size=%2F HTTP/1.1\r\n"));
  CHECK(request.ends_with("\r\n\r\nsheet"));
  CHECK(request.find("X-Order: 7\r\n") != std::string::npos);
  CHECK(request.find("Fireflythread-Pool: counter-desk\r\n") !=
        std::string::npos);
}

// Guards against a send by a control state that is no longer known to be
// current, which could reach a VM of another pool.
TEST_CASE("nothing is sent after the control state's confirmation ends") {
  TestBackend backend(
      [](const std::string&) { return TestBackend::Reply{OkReply("x")}; });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  fixture.gateway->SetConfirmedUntil(ReadBootClock());

  const CallerAnswer answer = fixture.Call("GET", "/s/orders/1");

  CHECK(answer.status == 503);
  CHECK(answer.outcome == "not-run");
  CHECK(answer.reason == "control-state-not-current");
  CHECK(backend.requests.empty());
}

}  // namespace fireflythread
