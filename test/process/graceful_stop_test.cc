#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <vector>

#include "test/process/site.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

}  // namespace

// Guarantee 7 at our own entries. Guards against a stop that cuts off requests
// in flight.
TEST_CASE("SIGTERM lets the requests in flight finish") {
  Site site;
  constexpr int kRequests = 10;
  std::vector<std::future<HttpAnswer>> answers;
  for (int i = 0; i < kRequests; ++i) {
    answers.push_back(site.CallLater(0, "GET", "plan-seams",
                                     {{"X-Standin-Work-Ms", "2000"}}));
  }
  REQUIRE(WaitUntil([&site] {
    return site.Backend().Counters().at("started").get<int>() >= kRequests;
  }));
  site.Entry(0).Signal(SIGTERM);
  for (auto& answer : answers) {
    const HttpAnswer got = answer.get();
    CHECK(got.status == 200);
    CHECK(got.outcome == "answered");
  }
  CHECK(site.Entry(0).WaitForExit(kLimit) == 0);
}

// Guarantees 5 and 7 when all entries are replaced one after another under
// load. Guards against requests that a rolling replacement loses.
TEST_CASE("a rolling replacement of the entries interrupts no request") {
  Site site;
  const auto caller =
      site.StartCaller({"--rate=100", "--seconds=15", "--repeat_share=0.2"});
  REQUIRE(WaitUntil([&site] {
    return site.Backend().Counters().at("arrived").get<int>() >= 100;
  }));
  for (std::size_t i = 0; i < 3; ++i) {
    site.Entry(i).Signal(SIGTERM);
    REQUIRE(site.Entry(i).WaitForExit(kLimit) == 0);
    site.Restart(i);
    REQUIRE(site.WaitReady(i));
  }
  const Json summary = Site::EndCaller(*caller);
  INFO(summary.dump(1));
  CHECK(summary.value("unknown", 0) == 0);
  const Json compared = site.Reconcile();
  INFO(compared.dump(1));
  CHECK(compared.at("contradictions").empty());
}

// Guarantee 7 at the workers. Guards against a reboot that is commanded while
// an entry still has a request on the worker.
TEST_CASE("a maintenance wave interrupts no request") {
  Site site;
  site.Platform().SetFaults({{"reboot_ms", 500}});
  const auto caller = site.StartCaller({"--rate=150", "--seconds=20"});
  REQUIRE(WaitUntil([&site] {
    return site.Backend().Counters().at("arrived").get<int>() >= 100;
  }));
  const HttpAnswer declared = site.Admin(
      0, "POST", "/v1/maintenance", R"({"racks":["rack-02"],"reason":"test"})");
  INFO(declared.body);
  REQUIRE(declared.status < 300);
  const auto rebooted = [&site] {
    int count = 0;
    const Json state = site.Platform().Vms();
    for (const Json& vm : state.at("vms")) {
      count += vm.at("reboots").get<int>();
    }
    return count;
  };
  CHECK(WaitUntil([&rebooted] { return rebooted() >= 4; }));
  const Json summary = Site::EndCaller(*caller);
  INFO(summary.dump(1));
  CHECK(summary.value("unknown", 0) == 0);
  CHECK(site.Backend().Count("aborted") == 0);
  CHECK(rebooted() == 4);
}

// Guarantee 7. Guards against a VM that counts as drained while an entry still
// has a long request in flight there.
TEST_CASE("a reboot waits for a long request in flight") {
  Site site;
  site.Platform().SetFaults({{"reboot_ms", 500}});
  auto answer = site.CallLater(
      0, "GET", "take-order",
      {{"X-Standin-Work-Ms", "6000"}, {"Fireflythread-Deadline-Ms", "20000"}});
  REQUIRE(WaitUntil([&site] { return site.Backend().Count("started") == 1; }));
  const std::string vm = site.Backend().Attempts().at(0).at("vm");
  const Json order = {{"vms", {vm}}, {"reason", "test"}};
  REQUIRE(site.Admin(1, "POST", "/v1/maintenance", order.dump()).status < 300);
  CHECK(answer.get().status == 200);
  CHECK(WaitUntil([&] {
    const auto waves = site.Platform().Rows("wave");
    return !waves.empty() && waves.begin()->second.at("state") == "finished";
  }));
  CHECK(site.Backend().Count("aborted") == 0);
  CHECK(site.Backend().Counters().at("arrived") == 1);
}

}  // namespace fireflythread::test
