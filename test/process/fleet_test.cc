#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "fireflythread/base/io_clock.h"
#include "test/process/site.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

const std::vector<std::string> kSteadyLoad = {"--rate=150", "--seconds=15",
                                              "--deadlines_ms=counter:8000,"
                                              "deadline:8000,batch:8000"};

auto WaitForAttempts(Site& site, int count) -> bool {
  return WaitUntil([&site, count] {
    return site.Backend().Counters().at("arrived").get<int>() >= count;
  });
}

/// Attempts that arrived at the VM after a time of the boot clock.
auto AttemptsAfter(Site& site, const std::string& vm, TimePoint time) -> int {
  const Json attempts = site.Backend().Attempts();
  return static_cast<int>(
      std::count_if(attempts.begin(), attempts.end(), [&](const Json& attempt) {
        return attempt.at("vm") == vm &&
               attempt.at("arrived_ns").get<std::int64_t>() >
                   time.time_since_epoch().count();
      }));
}

}  // namespace

// Guarantee 6. Guards against new work to a VM that the list shows as leaving,
// also by an entry that was frozen while the list changed.
TEST_CASE("a leaving VM gets no new work after the limit") {
  Site site;
  site.Platform().SetFaults({{"list_lag_ms", 0}});
  const auto caller = site.StartCaller(kSteadyLoad);
  REQUIRE(WaitForAttempts(site, 300));
  site.Entry(2).Freeze();
  const std::vector<std::string> leaving = {"worker-01", "worker-02",
                                            "worker-05", "worker-06"};
  site.Platform().SetFaults({{"leave", leaving}, {"leave_grace_ms", 60000}});
  const TimePoint shown = ReadBootClock();
  // The guarantee's limit; the frozen entry sleeps past it.
  constexpr std::chrono::seconds kNoNewWork{3};
  std::this_thread::sleep_for(kNoNewWork);
  site.Entry(2).Resume();
  const Json summary = Site::EndCaller(*caller);
  CHECK(summary.value("answered", 0) > 0);
  for (const std::string& vm : leaving) {
    CAPTURE(vm);
    CHECK(AttemptsAfter(site, vm, shown + kNoNewWork) == 0);
  }
  const Json compared = site.Reconcile();
  INFO(compared.dump(1));
  CHECK(compared.at("contradictions").empty());
}

// Guarantee 2. Guards against two controllers: one that was frozen past its
// lease must not change or command anything when it resumes.
TEST_CASE("a controller that was frozen past its lease changes nothing") {
  Site site;
  site.Platform().SetFaults({{"reboot_ms", 500}});
  REQUIRE(WaitUntil([&site] {
    return site.Platform().Rows("lease").contains("controller");
  }));
  const std::size_t old = site.Controller();
  const std::size_t other = (old + 1) % 3;
  REQUIRE(site.Admin(other, "POST", "/v1/maintenance",
                     R"({"racks":["rack-01","rack-02"],"reason":"test"})")
              .status < 300);
  site.Entry(old).Freeze();
  REQUIRE(WaitUntil([&] { return site.Controller() != old; }));
  site.Entry(old).Resume();
  REQUIRE(site.WaitReady(old));
  const auto wave_finished = [&site] {
    const auto waves = site.Platform().Rows("wave");
    return std::all_of(waves.begin(), waves.end(), [](const auto& wave) {
      return wave.second.at("state") == "finished";
    });
  };
  CHECK(WaitUntil(wave_finished, 2 * kLimit));
  // Once the platform has seen the new epoch, it carries out no older command.
  const Json state = site.Platform().Vms();
  std::uint64_t highest = 0;
  for (const Json& command : state.at("commands")) {
    const auto fence = command.at("fence").get<std::uint64_t>();
    if (!command.at("stale").get<bool>()) {
      CHECK(fence >= highest);
      highest = std::max(highest, fence);
    }
  }
  for (const Json& vm : state.at("vms")) {
    CAPTURE(vm.dump());
    CHECK(vm.at("reboots").get<int>() <= 1);
  }
  CHECK(site.Backend().Count("aborted") == 0);
}

// Guards against an outage of the store that stops requests which do not need
// it, or that lets keyed work run without its record.
TEST_CASE("requests go on while the store is down") {
  Site site;
  const std::string outage = GENERATE("refuse", "hang");
  site.Platform().SetFaults({{"store", outage}});
  // Longer than the freshness limit, so that only the peers can confirm.
  std::this_thread::sleep_for(std::chrono::milliseconds(3000));
  for (std::size_t entry = 0; entry < 3; ++entry) {
    const HttpAnswer got =
        site.Call(entry, "GET", "take-order", {{"X-Standin-Work-Ms", "1"}});
    INFO(got.reason);
    CHECK(got.status == 200);
  }
  const std::size_t before = site.Backend().Attempts().size();
  const HttpAnswer keyed =
      site.Call(0, "POST", "take-order", {{"Idempotency-Key", "order-7"}});
  CHECK(keyed.outcome == "not-run");
  CHECK(site.Backend().Attempts().size() == before);
  site.Platform().SetFaults({{"store", "none"}});
  CHECK(WaitUntil([&site] {
    return site.Call(1, "POST", "take-order", {{"Idempotency-Key", "order-7"}})
               .status == 200;
  }));
  CHECK(site.Backend().Attempts().size() == before + 1);
}

// Guarantee 8 and availability in part. Guards against an entry that goes on
// serving when it can confirm its control state by neither store nor peers.
TEST_CASE("an entry without store and peers stops serving") {
  Site site;
  site.Platform().SetFaults({{"cut_listeners", {0}}});
  site.Entry(1).Freeze();
  site.Entry(2).Freeze();
  REQUIRE(WaitUntil([&site] { return !site.IsReady(0); }));
  const std::size_t before = site.Backend().Attempts().size();
  const HttpAnswer got =
      site.Call(0, "GET", "take-order", {{"X-Standin-Work-Ms", "1"}});
  CHECK(got.outcome == "not-run");
  CHECK(site.Backend().Attempts().size() == before);
  site.Entry(1).Resume();
  site.Entry(2).Resume();
  CHECK(site.WaitReady(0));
}

// Guards against a lost zone that makes requests fail although the other zones
// have room, and against wrong outcomes for those that were in flight.
TEST_CASE("the loss of a zone is survived") {
  Site site;
  std::vector<std::string> flags = kSteadyLoad;
  flags.push_back("--repeat_share=0.2");
  const auto caller = site.StartCaller(flags);
  REQUIRE(WaitForAttempts(site, 300));
  site.Backend().SetFaults({{"zone", "castlegar-shed"}, {"gone", true}});
  const int at_loss = site.Backend().Counters().at("arrived").get<int>();
  const Json summary = Site::EndCaller(*caller);
  INFO(summary.dump(1));
  // The requests that were in flight in the zone may be unknown.
  const int in_flight = site.Backend().Count("aborted");
  CHECK(summary.value("unknown", 0) <= in_flight);
  CHECK(summary.value("answered", 0) > at_loss);
  const Json compared = site.Reconcile();
  INFO(compared.dump(1));
  CHECK(compared.at("contradictions").empty());
}

}  // namespace fireflythread::test
