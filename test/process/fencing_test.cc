#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "test/process/site.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

constexpr const char* kVm = "worker-01";

auto WaitForController(Site& site) -> bool {
  return WaitUntil(
      [&site] { return site.Platform().Rows("lease").contains("controller"); });
}

auto WaitForCounter(Site& site, const char* name) -> bool {
  return WaitUntil(
      [&site, name] { return site.Platform().Counters().value(name, 0) > 0; });
}

auto WavesFinished(Site& site) -> bool {
  const auto waves = site.Platform().Rows("wave");
  return !waves.empty() &&
         std::all_of(waves.begin(), waves.end(), [](const auto& wave) {
           return wave.second.at("state") == "finished";
         });
}

auto Reboots(Site& site, const std::string& vm) -> int {
  const Json state = site.Platform().Vms();
  for (const Json& each : state.at("vms")) {
    if (each.at("id") == vm) {
      return each.at("reboots").get<int>();
    }
  }
  return -1;
}

}  // namespace

// Guarantee 2. Guards against a transaction that a controller sent while it
// held the lease and that arrives after another entry has taken over. The
// change it makes is no longer wanted, and the successor wrote no row in the
// meantime, so only the condition on the epoch keeps it out.
TEST_CASE("a former controller's late transaction changes nothing") {
  Site site;
  site.Platform().SetFaults({{"list_lag_ms", 0}});
  REQUIRE(WaitForController(site));
  const std::size_t old = site.Controller();
  site.Platform().SetFaults(
      {{"hold_writes", {old}}, {"leave", {kVm}}, {"leave_grace_ms", 60000}});
  REQUIRE(WaitForCounter(site, "held_fleet_writes"));
  site.Platform().SetFaults({{"return", {kVm}}});
  REQUIRE(WaitUntil([&] { return site.Controller() != old; }));
  const auto before = site.Platform().Rows("fleet");
  site.Platform().SetFaults({{"hold_writes", Json::array()}});
  CHECK(site.Platform().Counters().value("late_conflict", 0) > 0);
  const auto after = site.Platform().Rows("fleet");
  CHECK(after == before);
  CHECK(after.at(std::string("vm/") + kVm).at("state") == "serving");
}

// Guarantee 2. Guards against a command of a former controller that arrives
// after its successor has finished the work: the VM would reboot again while
// it serves.
TEST_CASE("a former controller's late command is refused") {
  Site site;
  site.Platform().SetFaults({{"reboot_ms", 200}, {"list_lag_ms", 0}});
  REQUIRE(WaitForController(site));
  const std::size_t old = site.Controller();
  site.Platform().SetFaults({{"hold_commands", {old}}});
  const Json order = {{"vms", {kVm}}, {"reason", "test"}};
  REQUIRE(site.Admin((old + 1) % 3, "POST", "/v1/maintenance", order.dump())
              .status < 300);
  REQUIRE(WaitForCounter(site, "held_reboots"));
  site.Platform().SetFaults({{"hold_writes", {old}}});
  REQUIRE(WaitUntil([&] { return site.Controller() != old; }));
  REQUIRE(WaitUntil([&] { return WavesFinished(site); }));
  REQUIRE(Reboots(site, kVm) == 1);
  site.Platform().SetFaults(
      {{"hold_commands", Json::array()}, {"hold_writes", Json::array()}});
  CHECK(Reboots(site, kVm) == 1);
  CHECK(
      site.Platform().Rows("fleet").at(std::string("vm/") + kVm).at("state") ==
      "serving");
}

// Two faults at once. Guards against entries that lose their quorum, or that
// cannot recover, when an entry is killed and started while the store is down.
TEST_CASE("an entry is killed and replaced while the store is down") {
  Site site;
  site.Platform().SetFaults({{"store", "refuse"}});
  site.Entry(2).Kill();
  // The freshness limit passes here, so only the two entries' quorum confirms.
  site.Restart(2);
  const auto serves = [&site](std::size_t entry) {
    return site.Call(entry, "GET", "take-order", {{"X-Standin-Work-Ms", "1"}})
               .status == 200;
  };
  REQUIRE(site.WaitReady(2));
  CHECK(serves(0));
  CHECK(serves(1));
  // The successor waits for its predecessor's slots, and may borrow meanwhile.
  CHECK(WaitUntil([&] { return serves(2); }));
  const std::size_t before = site.Backend().Attempts().size();
  CHECK(site.Call(2, "POST", "take-order", {{"Idempotency-Key", "order-1"}})
            .outcome == "not-run");
  CHECK(site.Backend().Attempts().size() == before);
}

// Two faults at once. Guards against a wave that stops for good, takes a VM
// twice or cuts requests off when its controller is frozen and a zone is lost.
TEST_CASE("a wave goes on with its controller frozen and a zone lost") {
  Site site;
  site.Platform().SetFaults({{"reboot_ms", 500}, {"list_lag_ms", 0}});
  REQUIRE(WaitForController(site));
  const std::size_t old = site.Controller();
  const auto caller = site.StartCaller({"--rate=50", "--seconds=10"});
  // Both racks are in the zone nelson-yard.
  REQUIRE(site.Admin((old + 1) % 3, "POST", "/v1/maintenance",
                     R"({"racks":["rack-01","rack-04"],"reason":"test"})")
              .status < 300);
  REQUIRE(WaitUntil([&site] {
    const auto rows = site.Platform().Rows("fleet");
    return std::any_of(rows.begin(), rows.end(), [](const auto& row) {
      return row.first != "head" && row.second.at("state") != "serving";
    });
  }));
  site.Entry(old).Freeze();
  site.Backend().SetFaults({{"zone", "castlegar-shed"}, {"gone", true}});
  REQUIRE(WaitUntil([&] { return site.Controller() != old; }));
  site.Entry(old).Resume();
  const Json summary = Site::EndCaller(*caller);
  site.Backend().SetFaults({{"zone", "castlegar-shed"}, {"gone", false}});
  CHECK(WaitUntil([&] { return WavesFinished(site); }, 2 * kLimit));
  const Json state = site.Platform().Vms();
  for (const Json& vm : state.at("vms")) {
    CAPTURE(vm.dump());
    CHECK(vm.at("reboots").get<int>() <= 1);
  }
  // Only work in the lost zone was cut off.
  const Json attempts = site.Backend().Attempts();
  const std::vector<std::string> in_wave = {"worker-01", "worker-02",
                                            "worker-03", "worker-04"};
  for (const Json& attempt : attempts) {
    if (std::find(in_wave.begin(), in_wave.end(), attempt.at("vm")) !=
        in_wave.end()) {
      CHECK(attempt.at("state") != "aborted");
    }
  }
  CHECK(summary.value("mismatched", 0) == 0);
  const Json compared = site.Reconcile();
  INFO(compared.dump(1));
  CHECK(compared.at("contradictions").empty());
}

}  // namespace fireflythread::test
