#include <catch2/catch.hpp>

#include "test/fireflythread/gateway/gateway_fixture.h"

namespace fireflythread {

namespace {

using Reply = TestBackend::Reply;

auto Reason(GatewayFixture& fixture,
            const std::string& method,
            const std::string& path,
            const GatewayFixture::Headers& headers = {},
            const std::string& body = "") -> std::string {
  const CallerAnswer answer = fixture.Call(method, path, headers, body);
  CHECK(answer.outcome == "not-run");
  return std::to_string(answer.status) + " " + answer.reason;
}

}  // namespace

// Guards against malformed requests that are run, or refused without a reason
// that a caller can act on.
TEST_CASE("malformed requests are refused with a reason") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewaySettings settings;
  settings.max_request_bytes = 1000;
  GatewayFixture fixture(settings);
  fixture.AddWorker("vm-1", backend.Address());
  const std::string malformed = "400 malformed-request";
  const std::string path = "/s/orders/1";
  for (const char* deadline : {"0", "30001", "-1", "1e3", "", "5000 "}) {
    INFO(deadline);
    // libsoup strips the blanks around a value, so "5000 " is accepted as 5000.
    const CallerAnswer answer =
        fixture.Call("GET", path, {{"Fireflythread-Deadline-Ms", deadline}});
    CHECK((answer.status == 400) == (std::string(deadline) != "5000 "));
  }
  CHECK(Reason(fixture, "GET", path, {{"Fireflythread-Urgency", "now"}}) ==
        malformed);
  CHECK(Reason(fixture, "GET", path,
               {{"Fireflythread-Team", "a"}, {"Fireflythread-Team", "b"}}) ==
        malformed);
  CHECK(Reason(fixture, "GET", path, {{"Fireflythread-Cores", "many"}}) ==
        malformed);
  CHECK(Reason(fixture, "POST", path, {{"Idempotent", "yes"}}) == malformed);
  CHECK(Reason(fixture, "BREW", path) == malformed);
  CHECK(Reason(fixture, "POST", path, {}, "x") ==
        "400 idempotency-key-missing");
  CHECK(Reason(fixture, "GET", "/s/nothing/1") == "404 unknown-service");
  CHECK(Reason(fixture, "GET", "/other") == "404 unknown-service");
  CHECK(Reason(fixture, "PUT", path, {}, std::string(1001, 'x')) ==
        "413 body-too-large");
  CHECK(Reason(fixture, "GET", path, {{"Fireflythread-Cores", "33"}}) ==
        "413 size-fits-no-worker");
  CHECK(backend.requests.size() == 1);
}

// Guards against new work on a VM that is leaving, draining or of another
// pool, and against a drain acknowledged while a request still runs there.
TEST_CASE("a leaving or draining VM gets no new work") {
  int silent = 1;
  TestBackend backend([&](const std::string&) {
    return silent-- > 0 ? Reply{"", false, true} : Reply{OkReply("x")};
  });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  const auto running = fixture.Begin("GET", "/s/orders/1",
                                     {{"Fireflythread-Deadline-Ms", "300"}});
  REQUIRE(
      GatewayFixture::WaitFor([&] { return backend.requests.size() == 1; }));
  CHECK(fixture.gateway->InFlight(VmId("vm-1")) == 1);
  fixture.gateway->SetLeaving({VmId("vm-1")});
  CHECK(Reason(fixture, "GET", "/s/orders/1") == "503 no-worker");
  fixture.gateway->SetLeaving({});
  VmRecord& vm = fixture.fleet.vms[VmId("vm-1")];
  vm.state = VmState::kDraining;
  fixture.Apply();
  CHECK(Reason(fixture, "GET", "/s/orders/1") == "503 no-worker");
  REQUIRE(GatewayFixture::WaitFor([&] { return running->has_value(); }));
  // The attempt fell silent: the worker may still run it.
  CHECK(fixture.gateway->InFlight(VmId("vm-1")) == 1);
  vm.state = VmState::kServing;
  vm.pool = PoolName("shop-planner");
  fixture.Apply();
  CHECK(Reason(fixture, "GET", "/s/orders/1") == "503 no-worker");
}

// Guards against a control state that reverts.
TEST_CASE("a lower version is not applied") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  ConfigSnapshot older = fixture.config;
  older.version = 0;
  older.services.clear();
  fixture.gateway->ApplyControlState(
      std::make_shared<const ConfigSnapshot>(older),
      std::make_shared<const FleetView>(FleetView{}));
  CHECK(fixture.Call("GET", "/s/orders/1").status == 200);
}

// Guards against a planned stop that cuts requests off, or that accepts new
// ones and never ends.
TEST_CASE("a shutdown finishes what was accepted and refuses the rest") {
  int silent = 1;
  TestBackend backend([&](const std::string&) {
    return silent-- > 0 ? Reply{"", false, true} : Reply{OkReply("x")};
  });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  const auto running = fixture.Begin("GET", "/s/orders/1",
                                     {{"Fireflythread-Deadline-Ms", "300"}});
  REQUIRE(
      GatewayFixture::WaitFor([&] { return backend.requests.size() == 1; }));
  CHECK(fixture.gateway->InFlight(VmId("vm-1")) == 1);
  bool finished = false;
  fixture.gateway->BeginShutdown([&] { finished = true; });
  CHECK(Reason(fixture, "GET", "/s/orders/2") == "503 shutting-down");
  CHECK_FALSE(finished);
  REQUIRE(GatewayFixture::WaitFor([&] { return finished; }));
  CHECK(GatewayFixture::WaitFor([&] { return running->has_value(); }));
}

// Guards against slots used twice after a restart, and a queue that does not
// move when slots become usable by a loan or by the end of the predecessor.
TEST_CASE("an entry with blocked or foreign slots serves on loans") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewaySettings settings;
  settings.members = {EntryId("entry-1"), EntryId("entry-2")};
  GatewayFixture fixture(settings);
  fixture.config.pools[PoolName("counter-desk")].slots_per_worker = 1;
  // With one slot a worker, each worker's slot belongs to one entry.
  for (int i = 0; i < 6; ++i) {
    fixture.AddWorker("vm-" + std::to_string(i), backend.Address());
  }
  const LoanReply all = fixture.gateway->HandleLoanRequest(
      EntryId("entry-2"), {1, PoolName("counter-desk"), 10});
  CHECK_FALSE(all.loans.empty());
  // Some of the own slots stay.
  CHECK(fixture.Call("GET", "/s/orders/1").status == 200);
  CHECK(fixture.gateway
            ->HandleLoanRequest(EntryId("stranger"),
                                {1, PoolName("counter-desk"), 10})
            .loans.empty());
}

// Guards against a drain that is acknowledged, or a slot that is used, while
// the entry's earlier process may still have a request on the worker.
TEST_CASE("a predecessor's requests count until it is gone") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewayFixture fixture({}, false);
  fixture.AddWorker("vm-1", backend.Address());
  CHECK(fixture.gateway->InFlight(VmId("vm-1")) == 1);
  const auto waiting = fixture.Begin("GET", "/s/orders/1");
  CHECK(Reason(fixture, "GET", "/s/orders/1",
               {{"Fireflythread-Deadline-Ms", "50"}}) ==
        "503 deadline-unreachable");
  CHECK(backend.requests.empty());
  fixture.gateway->SetPredecessorGone();
  REQUIRE(GatewayFixture::WaitFor([&] { return waiting->has_value(); }));
  CHECK((*waiting)->status == 200);
  CHECK(fixture.gateway->InFlight(VmId("vm-1")) == 0);
}

// Guards against demand that the controller does not see.
TEST_CASE("demand counts arrivals, shed requests and workers") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  for (int i = 0; i < 3; ++i) {
    fixture.Call("GET", "/s/orders/1");
  }
  const DemandSnapshot demand = fixture.gateway->DemandByService();
  REQUIRE(demand.services.size() == 1);
  CHECK(demand.services.front().arrivals_per_second == 3);
  CHECK(demand.services.front().answered_in_time_ratio == 1);
  CHECK(demand.services.front().mean_service_seconds > 0);
  REQUIRE(demand.workers.size() == 1);
  CHECK(demand.workers.front().in_flight == 0);
  CHECK(demand.config_version == 1);
}

}  // namespace fireflythread
