#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "test/process/site.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

/// Time after which a confirmation of the quorum is no longer fresh.
constexpr std::chrono::seconds kFreshnessLimit{2};

auto RelayedSite() -> Site::Options {
  Site::Options options;
  options.relay_peers = true;
  return options;
}

}  // namespace

// Design 2.11, "peer link cut". Guards against entries that go on waiting on
// connections that are silent for good, and so lose their quorum although new
// connections work. The store is down, so only the peers can confirm.
TEST_CASE("entries regain their quorum when their links go silent") {
  Site site(RelayedSite());
  site.Platform().SetFaults({{"store", "refuse"}});
  // Only a quorum of peers keeps an entry ready for longer than the freshness
  // limit; a request after it shows that it holds. An entry need not have been
  // unready meanwhile: the links may be replaced before the limit.
  site.SilencePeerLinks();
  const auto silenced_at = std::chrono::steady_clock::now();
  REQUIRE(WaitUntil([&site] { return site.HasNewPeerLinks(); }));
  REQUIRE(WaitUntil([silenced_at] {
    return std::chrono::steady_clock::now() - silenced_at > 2 * kFreshnessLimit;
  }));
  for (std::size_t entry = 0; entry < 3; ++entry) {
    CAPTURE(entry);
    REQUIRE(site.WaitReady(entry));
    const auto served = [&site, entry] {
      return site.Call(entry, "GET", "take-order", {{"X-Standin-Work-Ms", "1"}})
                 .status == 200;
    };
    CHECK(WaitUntil(served));
  }
}

// Guards against an edit that stays pending, or a drain that waits for an
// acknowledgement, after the links between the entries went silent.
TEST_CASE("edits and drains go on when the links between entries go silent") {
  Site site(RelayedSite());
  site.Platform().SetFaults({{"reboot_ms", 500}, {"list_lag_ms", 0}});
  site.SilencePeerLinks();
  // The bound of guarantee 8.
  const HttpAnswer edited = site.Admin(
      0, "PUT", "/v1/teams/installers?wait_ms=5000",
      Json({{"max_in_flight", 100}}).dump(), {{"If-Match", "\"1\""}});
  INFO(edited.body);
  CHECK(edited.status == 200);
  CHECK(edited.Json().value("state", "") == "accepted");
  site.SilencePeerLinks();
  REQUIRE(site.Admin(1, "POST", "/v1/maintenance",
                     R"({"vms":["worker-01"],"reason":"test"})")
              .status < 300);
  // A drain that a member does not acknowledge ends only after the freshness
  // limit and the longest request time of 30 s, so this wait is shorter.
  constexpr std::chrono::seconds kWithoutAcknowledgement{30};
  CHECK(WaitUntil(
      [&site] {
        const auto waves = site.Platform().Rows("wave");
        return !waves.empty() &&
               waves.begin()->second.at("state") == "finished";
      },
      kWithoutAcknowledgement));
}

// Guards against an entry that can no longer borrow slots after its links went
// silent, and so cannot use a pool that the other entries leave idle.
TEST_CASE("slot loans go on when the links between entries go silent") {
  Site site(RelayedSite());
  site.SilencePeerLinks();
  // More than a third of the pool's 80 slots, so an entry of three needs loans
  // to start them all at once, and a second round would end past the deadline.
  constexpr int kRequests = 50;
  const HttpHeaders headers = {{"X-Standin-Work-Ms", "1500"},
                               {"Fireflythread-Deadline-Ms", "2900"}};
  const auto all_answered = [&] {
    std::vector<std::future<HttpAnswer>> answers;
    for (int i = 0; i < kRequests; ++i) {
      answers.push_back(site.CallLater(0, "GET", "take-order", headers));
    }
    int answered = 0;
    for (auto& answer : answers) {
      answered += answer.get().status == 200 ? 1 : 0;
    }
    return answered == kRequests;
  };
  CHECK(WaitUntil(all_answered));
}

}  // namespace fireflythread::test
