#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "test/process/site.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

/// Load of all kinds of requests, with repeats of keys through other entries.
const std::vector<std::string> kMixedLoad = {"--rate=150", "--seconds=8",
                                             "--repeat_share=0.3"};

/// Waits until the ledger holds this many attempts, so that a fault happens
/// under load.
auto WaitForAttempts(Site& site, int count) -> bool {
  return WaitUntil([&site, count] {
    return site.Backend().Counters().at("arrived").get<int>() >= count;
  });
}

}  // namespace

// Guarantees 3, 4 and 5 while workers misbehave. Guards against an answer that
// is passed on although it is cut short or altered, and against "not run" for a
// request that ran.
TEST_CASE("outcomes agree with the ledger while workers misbehave") {
  Site site;
  const auto caller = site.StartCaller(kMixedLoad);
  REQUIRE(WaitForAttempts(site, 100));
  site.Backend().SetFaults({{"truncate_answers", 2},
                            {"wrong_digests", 2},
                            {"duplicate_answers", 2},
                            {"lose_answers", 2},
                            {"silence_connections", 1}});
  site.Backend().SetFaults({{"rack", "rack-02"}, {"delay_ms", 300}});
  REQUIRE(WaitForAttempts(site, 400));
  site.Backend().SetFaults({{"silence_established", true}});
  const Json summary = Site::EndCaller(*caller);
  CHECK(summary.value("mismatched", 0) == 0);
  CHECK(summary.value("answered", 0) > 0);
  const Json compared = site.Reconcile();
  INFO(compared.dump(1));
  CHECK(compared.at("contradictions").empty());
}

// Guarantees 4 and 5 when an entry is killed. Guards against a keyed request
// that runs twice because another entry takes over its key.
TEST_CASE("outcomes agree with the ledger when an entry is killed") {
  Site site;
  std::vector<std::string> flags = kMixedLoad;
  flags.push_back(GENERATE("--repeat_at_once=false", "--repeat_at_once=true"));
  const auto caller = site.StartCaller(flags);
  REQUIRE(WaitForAttempts(site, 200));
  site.Entry(1).Kill();
  REQUIRE(WaitForAttempts(site, 500));
  site.Restart(1);
  const Json summary = Site::EndCaller(*caller);
  CHECK(summary.value("answered", 0) > 0);
  const Json compared = site.Reconcile();
  INFO(compared.dump(1));
  CHECK(compared.at("contradictions").empty());
}

// Guarantees 3 and 5 when the first request with a key arrives after its
// repeat. Guards against an answer of the one run that counts as an answer to
// another request, because the repeat was the one that ran.
TEST_CASE("a request gets the answer of the run that its repeat claimed") {
  Site site;
  const auto caller =
      site.StartCaller({"--rate=150", "--seconds=6", "--keyed_share=1",
                        "--repeat_share=1", "--repeat_at_once=true"});
  REQUIRE(WaitForAttempts(site, 100));
  // Shorter than the freshness limit, so that the entry serves the requests in
  // its sockets when it resumes.
  site.Entry(0).Freeze();
  const bool repeats_ran = WaitForAttempts(
      site, site.Backend().Counters().at("arrived").get<int>() + 100);
  site.Entry(0).Resume();
  REQUIRE(repeats_ran);
  const Json summary = Site::EndCaller(*caller);
  INFO(summary.dump(1));
  CHECK(summary.value("answered", 0) > 0);
  CHECK(summary.value("mismatched", 0) == 0);
  const Json compared = site.Reconcile();
  INFO(compared.dump(1));
  CHECK(compared.at("contradictions").empty());
}

// Guarantees 4 and 5 when commit answers are lost. Guards against a key whose
// recording has an unknown result being sent, or reported as not run and sent.
TEST_CASE("outcomes agree with the ledger when commit answers are lost") {
  Site site;
  const auto caller = site.StartCaller(kMixedLoad);
  REQUIRE(WaitForAttempts(site, 100));
  site.Platform().SetFaults({{"lose_answers", 20}, {"lose_table", "request"}});
  REQUIRE(WaitForAttempts(site, 400));
  site.Platform().SetFaults({{"lose_answers", 10},
                             {"lose_table", "request"},
                             {"lose_silently", true}});
  const Json summary = Site::EndCaller(*caller);
  CHECK(summary.value("answered", 0) > 0);
  const Json compared = site.Reconcile();
  INFO(compared.dump(1));
  CHECK(compared.at("contradictions").empty());
}

// Guarantee 5. Guards against a repeat through another entry, at the same time
// or later, that runs the request again, or is refused although the answer of
// the one run is there before its deadline.
TEST_CASE("a key runs once when it is repeated through every entry") {
  Site site;
  const HttpHeaders headers = {{"Idempotency-Key", "cut-order-1"},
                               {"X-Standin-Work-Ms", "500"}};
  std::vector<std::future<HttpAnswer>> answers;
  for (int i = 0; i < 9; ++i) {
    answers.push_back(site.CallLater(i % 3, "POST", "take-order", headers));
  }
  std::set<std::string> bodies;
  for (auto& each : answers) {
    const HttpAnswer answer = each.get();
    CHECK(answer.status == 200);
    bodies.insert(answer.body);
  }
  const HttpAnswer later = site.Call(1, "POST", "take-order", headers);
  CHECK(later.status == 200);
  CHECK_FALSE(later.body.empty());
  CHECK(bodies == std::set<std::string>{later.body});
  CHECK(site.Backend().Count("finished") == 1);
  CHECK(site.Backend().Counters().at("arrived") == 1);
}

}  // namespace fireflythread::test
