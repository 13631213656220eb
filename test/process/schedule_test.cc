#include <catch2/catch.hpp>
#include <string>

#include "test/process/site.h"

namespace fireflythread::test {

using Json = nlohmann::json;

// Guarantee 7. Guards against an interval that starts no wave, and against
// waves of the schedule that interrupt requests.
TEST_CASE("VMs are maintained by their profile's interval under load") {
  Site site;
  site.Platform().SetFaults({{"reboot_ms", 500}});
  const auto caller = site.StartCaller({"--rate=100", "--seconds=20"});
  REQUIRE(WaitUntil([&site] {
    return site.Backend().Counters().at("arrived").get<int>() >= 100;
  }));
  Json profile = site.Admin(0, "GET", "/v1/profiles/counter").Json();
  const Json version = profile.at("version");
  profile.erase("version");
  profile.erase("name");
  // Shorter than the VMs have run, so that all are due at once.
  profile["maintenance_interval_days"] = 0.00002;
  const HttpAnswer edited =
      site.Admin(0, "PUT", "/v1/profiles/counter?wait_ms=10000", profile.dump(),
                 {{"If-Match", "\"" + version.dump() + "\""}});
  INFO(edited.body);
  REQUIRE(edited.status == 200);
  const auto rebooted = [&site] {
    int count = 0;
    const Json state = site.Platform().Vms();
    for (const Json& vm : state.at("vms")) {
      count += vm.at("reboots").get<int>() > 0 ? 1 : 0;
    }
    return count;
  };
  CHECK(WaitUntil([&rebooted] { return rebooted() >= 4; }));
  const Json summary = Site::EndCaller(*caller);
  INFO(summary.dump(1));
  CHECK(summary.value("unknown", 0) == 0);
  CHECK(site.Backend().Count("aborted") == 0);
  const auto waves = site.Platform().Rows("wave");
  REQUIRE_FALSE(waves.empty());
  CHECK(waves.begin()->second.at("declared_by") == "schedule");
  const Json compared = site.Reconcile();
  CHECK(compared.at("contradictions").empty());
}

}  // namespace fireflythread::test
