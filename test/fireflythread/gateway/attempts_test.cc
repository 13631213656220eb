#include <catch2/catch.hpp>

#include <set>

#include "fireflythread/gateway/answer_check.h"
#include "test/fireflythread/gateway/gateway_fixture.h"

namespace fireflythread {

namespace {

using Reply = TestBackend::Reply;

/// Answers 25 requests, which fills the retry budget for two retries.
auto FillBudget(GatewayFixture& fixture) -> void {
  for (int i = 0; i < 25; ++i) {
    REQUIRE(fixture.Call("GET", "/s/orders/warm").status == 200);
  }
}

auto IsWarmUp(const std::string& request) -> bool {
  return request.starts_with("GET /warm ") ||
         request.starts_with("GET /healthz ");
}

}  // namespace

// Guards against requests that some HTTP client sends again by itself when a
// reused connection closes: each attempt must be one that was counted.
TEST_CASE("a request is sent once for each counted attempt") {
  TestBackend backend([](const std::string& request) {
    return IsWarmUp(request) ? Reply{OkReply("ok")} : Reply{"", true};
  });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  CHECK(fixture.Call("GET", "/s/orders/warm").status == 200);

  // The connection is reused and closed without an answer; no budget is left.
  const CallerAnswer answer = fixture.Call("GET", "/s/orders/1");

  CHECK(answer.status == 502);
  CHECK(answer.outcome == "unknown");
  CHECK(backend.requests.size() == 2);
  CHECK(fixture.attempts.size() == 2);
}

// Guards against a connection for each request, which a worker with few
// connections does not take.
TEST_CASE("connections to a worker are kept and bounded") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("ok")}; });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  for (int round = 0; round < 5; ++round) {
    std::vector<std::shared_ptr<std::optional<CallerAnswer>>> answers;
    answers.reserve(20);
    for (int i = 0; i < 20; ++i) {
      answers.push_back(
          fixture.Begin("POST", "/s/orders/n", {{"Idempotent", "true"}}, "x"));
    }
    for (const auto& answer : answers) {
      REQUIRE(GatewayFixture::WaitFor([&] { return answer->has_value(); }));
      CHECK((*answer)->status == 200);
    }
  }
  CHECK(backend.requests.size() == 100);
  CHECK(backend.connections <= 7);
}

// Guards against a partial or damaged answer that reaches the caller, and
// against giving up an idempotent request that another worker can serve.
TEST_CASE(
    "an idempotent request with a damaged answer goes to another worker") {
  const std::string damage = GENERATE(
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"),
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Digest: "
                  "sha-256=:AAAA:\r\n\r\nflip"),
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
                  "Fireflythread-Request-Id: other\r\n\r\nlate"),
      std::string("HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
                  "Content-Length: 0\r\n\r\n"));
  int runs = 0;
  const auto handler = [&](const std::string& request) {
    if (IsWarmUp(request)) {
      return Reply{OkReply("ok")};
    }
    return ++runs == 1 ? Reply{damage, true} : Reply{OkReply("whole")};
  };
  TestBackend first(handler);
  TestBackend second(handler);
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", first.Address());
  fixture.AddWorker("vm-2", second.Address());
  FillBudget(fixture);

  const CallerAnswer answer = fixture.Call("GET", "/s/orders/1");

  CHECK(answer.status == 200);
  CHECK(answer.body == "whole");
  CHECK(runs == 2);
  const auto& attempts = fixture.attempts;
  CHECK(attempts[attempts.size() - 2].vm != attempts.back().vm);
}

// Guards against a right digest taken for damage.
TEST_CASE("an answer with its digest passes") {
  TestBackend backend([](const std::string&) {
    return Reply{
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Digest: "
        "sha-256=:" +
        Sha256Base64("whole") + ":\r\n\r\nwhole"};
  });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  CHECK(fixture.Call("GET", "/s/orders/1").body == "whole");
}

// Guards against a caller that waits beyond its deadline on a connection whose
// state was lost, and a worker blamed for it though new connections work.
TEST_CASE("a silent connection ends at the deadline and the worker is probed") {
  bool silent = true;
  TestBackend backend([&](const std::string& request) {
    return silent && !request.starts_with("GET /healthz")
               ? Reply{"", false, true}
               : Reply{OkReply("ok")};
  });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());

  const CallerAnswer answer = fixture.Call(
      "GET", "/s/orders/1", {{"Fireflythread-Deadline-Ms", "100"}});
  CHECK(answer.status == 504);
  CHECK(answer.outcome == "unknown");
  CHECK(fixture.gateway->InFlight(VmId("vm-1")) == 1);

  silent = false;
  CHECK(GatewayFixture::WaitFor([&] { return backend.requests.size() == 2; }));
  CHECK(fixture.Call("GET", "/s/orders/2").status == 200);
  CHECK(fixture.ejected.empty());
}

// Guards against "not run" for a request that may have run, when a later
// attempt was refused.
TEST_CASE("an unknown attempt makes the outcome unknown") {
  TestBackend breaking([](const std::string& request) {
    return IsWarmUp(request) ? Reply{OkReply("ok")} : Reply{"", true};
  });
  TestBackend refusing([](const std::string& request) {
    return IsWarmUp(request) ? Reply{OkReply("ok")}
                             : Reply{
                                   "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
                                   "Content-Length: 0\r\n\r\n"};
  });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", breaking.Address());
  fixture.AddWorker("vm-2", refusing.Address());
  FillBudget(fixture);

  const CallerAnswer answer = fixture.Call("GET", "/s/orders/1");

  CHECK(answer.outcome == "unknown");
  CHECK(answer.status == 502);
}

// Guards against a rack that is lost: connects are refused there, nothing was
// sent, and the pool's other workers can serve.
TEST_CASE("a refused connect is not a send and the worker is ejected") {
  std::string dead;
  {
    const TestBackend gone([](const std::string&) { return Reply{}; });
    dead = gone.Address();
  }
  TestBackend one([](const std::string&) { return Reply{OkReply("ok")}; });
  TestBackend two([](const std::string&) { return Reply{OkReply("ok")}; });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", one.Address());
  fixture.AddWorker("vm-2", two.Address());
  fixture.AddWorker("vm-3", dead);
  int not_run = 0;
  for (int i = 0; i < 50; ++i) {
    const CallerAnswer answer = fixture.Call("GET", "/s/orders/1");
    CHECK((answer.status == 200 || answer.outcome == "not-run"));
    not_run += answer.outcome == "not-run" ? 1 : 0;
  }
  CHECK(not_run <= 1);
  REQUIRE(GatewayFixture::WaitFor([&] { return fixture.ejected.size() == 1; }));
  CHECK(fixture.ejected.front().vm == VmId("vm-3"));
}

// Guards against a pool that a slow answer holds up though another worker is
// free, and a caller that gets two answers.
TEST_CASE("a slow counter request is hedged and the first answer counts") {
  bool slow = false;
  int runs = 0;
  const auto handler = [&](const std::string& request) {
    if (slow && !IsWarmUp(request) && ++runs == 1) {
      return Reply{"", false, true};
    }
    return Reply{OkReply("ok")};
  };
  TestBackend first(handler);
  TestBackend second(handler);
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", first.Address());
  fixture.AddWorker("vm-2", second.Address());
  FillBudget(fixture);
  slow = true;
  const CallerAnswer answer =
      fixture.Call("GET", "/s/orders/1",
                   {{"Fireflythread-Urgency", "counter"},
                    {"Fireflythread-Deadline-Ms", "30000"}});
  CHECK(answer.status == 200);
  CHECK(runs == 2);
}

}  // namespace fireflythread
