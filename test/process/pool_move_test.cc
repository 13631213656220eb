#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "test/process/site.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

constexpr int kWantedVms = 24;

/// How many VMs each pool has, by the platform's table.
auto PoolSizes(Site& site) -> std::map<std::string, int> {
  std::map<std::string, int> sizes;
  for (const auto& [key, row] : site.Platform().Rows("fleet")) {
    if (key != "head") {
      ++sizes[row.at("pool").get<std::string>()];
    }
  }
  return sizes;
}

/// Sets the smallest size of a pool through the first entry.
auto SetMinVms(Site& site, const std::string& pool, int min_vms) -> int {
  Json body = site.Platform().Rows("config").at("pool/" + pool);
  body["min_vms"] = min_vms;
  const std::string path = "/v1/pools/" + pool;
  const Json shown =
      Json::parse(site.Admin(0, "GET", path).body, nullptr, false);
  return site
      .Admin(0, "PUT", path, body.dump(),
             {{"If-Match", std::to_string(shown.value("version", 0))}})
      .status;
}

struct ServedPools {
  /// VMs that got requests for more than one pool.
  std::set<std::string> moved;
  /// VMs that got a request for a pool after one for the pool they moved to.
  std::set<std::string> returned;
};

auto FindServedPools(const Json& attempts) -> ServedPools {
  std::map<std::string, std::vector<std::string>> pools;
  ServedPools served;
  for (const Json& attempt : attempts) {
    const auto vm = attempt.at("vm").get<std::string>();
    const auto pool = attempt.at("pool").get<std::string>();
    std::vector<std::string>& seen = pools[vm];
    if (seen.empty() || seen.back() != pool) {
      if (std::find(seen.begin(), seen.end(), pool) != seen.end()) {
        served.returned.insert(vm);
      }
      seen.push_back(pool);
      if (seen.size() > 1) {
        served.moved.insert(vm);
      }
    }
  }
  return served;
}

}  // namespace

// Guarantee 2. Guards against an entry that still sends for the pool that a VM
// has left: one entry is frozen and another is killed while VMs move.
TEST_CASE("a VM that moves serves one pool after the other") {
  Site site;
  const auto caller =
      site.StartCaller({"--rate=80", "--seconds=60", "--repeat_share=0.1"});
  REQUIRE(WaitUntil([&site] {
    return site.Backend().Counters().at("arrived").get<int>() >= 100;
  }));
  // More than the spare pool holds, so VMs that serve other pools move too.
  REQUIRE(SetMinVms(site, "counter-desk", kWantedVms) < 300);
  const std::size_t controller = site.Controller();
  const std::size_t frozen = (controller + 1) % 3;
  site.Entry(frozen).Freeze();
  REQUIRE(WaitUntil([&site] {
    const auto rows = site.Platform().Rows("fleet");
    return std::any_of(rows.begin(), rows.end(), [](const auto& row) {
      return row.first != "head" && row.second.at("state") == "draining";
    });
  }));
  site.Entry(frozen).Resume();
  site.Entry((controller + 2) % 3).Kill();
  site.Restart((controller + 2) % 3);
  CHECK(WaitUntil(
      [&site] { return PoolSizes(site)["counter-desk"] >= kWantedVms; },
      3 * kLimit));
  (void)Site::EndCaller(*caller);
  const ServedPools served = FindServedPools(site.Backend().Attempts());
  CHECK_FALSE(served.moved.empty());
  CHECK(served.returned.empty());
  CHECK(site.Backend().Count("aborted") == 0);
  const Json compared = site.Reconcile();
  INFO(compared.dump(1));
  CHECK(compared.at("contradictions").empty());
}

}  // namespace fireflythread::test
