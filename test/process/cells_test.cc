#include <catch2/catch.hpp>
#include <string>

#include "test/process/site.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

/// The row of a cell that the test stands in for.
auto WriteCellRow(Site& site, std::uint64_t config_version) -> void {
  const Json value = {{"config_version", config_version},
                      {"zones", {"far-yard"}}};
  const Json transaction = {
      {"nonce", "test"},
      {"conditions", Json::array()},
      {"writes",
       {{{"table", "cell"}, {"key", "east"}, {"value", value.dump()}}}}};
  const HttpAnswer written = Fetch(
      "POST", "http://" + site.Platform().Address() + "/v1/table/transactions",
      transaction.dump());
  REQUIRE(written.Json().value("outcome", "") == "committed");
}

}  // namespace

// Guarantee 8. Guards against an edit that is reported as accepted while
// another cell, cut off from the store, may still serve by the older
// configuration.
TEST_CASE("an edit stays pending while another cell has an older version") {
  Site site;
  WriteCellRow(site, 1);
  const HttpAnswer edited = site.Admin(
      0, "PUT", "/v1/services/take-order?wait_ms=3000",
      Json({{"pool", "fittings-desk"}, {"profile", "counter"}}).dump(),
      {{"If-Match", "\"1\""}});
  INFO(edited.body);
  REQUIRE(edited.status == 202);
  CHECK(edited.Json().at("missing_cells") == Json({"east"}));
  const auto version = edited.Json().at("config_version").get<std::uint64_t>();
  // The own cell's controller states what its majority has in force.
  CHECK(WaitUntil([&] {
    return site.Platform().Rows("cell").at("main").value("config_version",
                                                         0U) == version;
  }));
  const Json pending = site.Admin(1, "GET", "/v1/config/version").Json();
  CHECK(pending.at("accepted") < version);
  CHECK(pending.at("missing_cells") == Json({"east"}));
  WriteCellRow(site, version);
  CHECK(WaitUntil([&] {
    return site.Admin(1, "GET", "/v1/config/version").Json().at("accepted") ==
           version;
  }));
}

// Guards against two cells that command the same VMs because of a wrong
// setting, and against a wrong setting that stops the cell that serves.
TEST_CASE("an entry with a conflicting claim does not become ready") {
  Site site;
  site.AddSettings(2, "[cell]\nzones = nelson-yard\n");
  site.Restart(2);
  REQUIRE(WaitUntil([&] {
    return site.Readiness(2).body.find(
               "cell main is registered with all zones, not with "
               "nelson-yard") != std::string::npos;
  }));
  CHECK_FALSE(site.IsReady(2));
  CHECK(site.IsReady(0));
  CHECK(site.IsReady(1));
}

}  // namespace fireflythread::test
