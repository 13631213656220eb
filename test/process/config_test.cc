#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "test/process/site.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

constexpr const char* kOldPool = "counter-desk";
constexpr const char* kNewPool = "fittings-desk";

/// Moves the service take-order to the new pool through an entry.
auto MoveService(Site& site, std::size_t entry) -> HttpAnswer {
  return site.Admin(entry, "PUT", "/v1/services/take-order?wait_ms=10000",
                    Json({{"pool", kNewPool},
                          {"profile", "counter"},
                          {"default_deadline_ms", 2000}})
                        .dump(),
                    {{"If-Match", "\"1\""}});
}

/// Attempts at workers of the old pool that arrived after the first `from`.
auto OldAttempts(Site& site, std::size_t from) -> int {
  const Json attempts = site.Backend().Attempts();
  int count = 0;
  for (std::size_t i = from; i < attempts.size(); ++i) {
    count += attempts[i].at("pool") == kOldPool ? 1 : 0;
  }
  return count;
}

auto CallOnce(Site& site, std::size_t entry) -> HttpAnswer {
  return site.Call(entry, "GET", "take-order", {{"X-Standin-Work-Ms", "1"}});
}

}  // namespace

// Guarantee 8. Guards against an entry that serves by an older configuration
// after it was frozen while the change was accepted.
TEST_CASE("an entry that was frozen does not serve by an older configuration") {
  Site site;
  for (std::size_t i = 0; i < 3; ++i) {
    REQUIRE(CallOnce(site, i).status == 200);
  }
  site.Entry(2).Freeze();
  const HttpAnswer edited = MoveService(site, 0);
  INFO(edited.body);
  REQUIRE(edited.status == 200);
  REQUIRE(edited.Json().at("state") == "accepted");
  // The frozen process has these requests in its socket when it resumes.
  const std::size_t before = site.Backend().Attempts().size();
  std::vector<std::future<HttpAnswer>> waiting;
  for (int i = 0; i < 20; ++i) {
    waiting.push_back(
        site.CallLater(2, "GET", "take-order", {{"X-Standin-Work-Ms", "1"}}));
  }
  // The edit takes longer than the freshness limit to be sure to expire.
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  site.Entry(2).Resume();
  for (auto& answer : waiting) {
    const HttpAnswer got = answer.get();
    CHECK((got.status == 200 || got.outcome == "not-run"));
  }
  REQUIRE(WaitUntil([&site] { return CallOnce(site, 2).status == 200; }));
  CHECK(OldAttempts(site, before) == 0);
}

// Guarantee 8. Guards against a restarted entry that starts with an older
// configuration, also while the store cannot be read.
TEST_CASE("a restarted entry does not serve by an older configuration") {
  Site site;
  const HttpAnswer edited = MoveService(site, 0);
  INFO(edited.body);
  REQUIRE(edited.status == 200);
  const std::size_t before = site.Backend().Attempts().size();
  const std::string outage = GENERATE("none", "refuse", "hang");
  site.Platform().SetFaults({{"store", outage}});
  site.Restart(1);
  const bool ready = WaitUntil([&site] { return site.IsReady(1); });
  if (outage == "none") {
    CHECK(ready);
  }
  for (int i = 0; i < 10; ++i) {
    const HttpAnswer got = CallOnce(site, 1);
    CHECK((got.status == 200 || got.outcome == "not-run"));
  }
  site.Platform().SetFaults({{"store", "none"}});
  REQUIRE(WaitUntil([&site] { return CallOnce(site, 1).status == 200; }));
  CHECK(OldAttempts(site, before) == 0);
}

// Guards against a lost update: of operators who edit the same object from the
// same version through different entries exactly one succeeds.
TEST_CASE("one of several racing edits is accepted") {
  Site site;
  std::vector<std::future<HttpAnswer>> edits;
  for (std::size_t i = 0; i < 6; ++i) {
    edits.push_back(std::async(std::launch::async, [&site, i] {
      return site.Admin(i % 3, "PUT", "/v1/teams/installers",
                        Json({{"max_in_flight", 100 + i}}).dump(),
                        {{"If-Match", "\"1\""}});
    }));
  }
  int committed = 0;
  int conflicts = 0;
  for (auto& edit : edits) {
    const HttpAnswer answer = edit.get();
    INFO(answer.body);
    committed += answer.status == 200 || answer.status == 202 ? 1 : 0;
    conflicts += answer.status == 409 ? 1 : 0;
  }
  CHECK(committed == 1);
  CHECK(conflicts == 5);
  CHECK(site.Platform().Rows("history").size() == 1);
  CHECK(site.Platform().Rows("config").at("head") == 2);
}

// Guards against an edit whose commit answer was lost being reported as failed
// or made twice.
TEST_CASE("an edit whose commit answer is lost is made once") {
  Site site;
  site.Platform().SetFaults({{"lose_answers", 1}, {"lose_table", "config"}});
  const HttpAnswer edited = MoveService(site, 0);
  INFO(edited.body);
  CHECK((edited.status == 200 || edited.status == 202));
  CHECK(site.Platform().Rows("history").size() == 1);
  CHECK(site.Platform().Rows("config").at("service/take-order").at("pool") ==
        kNewPool);
}

}  // namespace fireflythread::test
