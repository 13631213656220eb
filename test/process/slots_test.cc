#include <algorithm>
#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <vector>

#include "test/process/site.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;

/// Slots of the ten workers of a pool.
constexpr int kPoolSlots = 80;

auto CallMany(Site& site,
              std::size_t entry,
              int count,
              const HttpHeaders& headers)
    -> std::vector<std::future<HttpAnswer>> {
  std::vector<std::future<HttpAnswer>> answers;
  answers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    answers.push_back(site.CallLater(entry, "GET", "take-order", headers));
  }
  return answers;
}

}  // namespace

// Design 2.5. Guards against entries that together send a worker more than 8
// requests at a time, or that open more than 60 connections to it.
TEST_CASE("all entries together keep to a worker's slots and connections") {
  Site site;
  std::vector<std::vector<std::future<HttpAnswer>>> answers;
  for (std::size_t entry = 0; entry < 3; ++entry) {
    answers.push_back(CallMany(
        site, entry, kPoolSlots,
        {{"X-Standin-Work-Ms", "300"}, {"Fireflythread-Deadline-Ms", "9000"}}));
  }
  int answered = 0;
  for (auto& of_entry : answers) {
    for (auto& answer : of_entry) {
      answered += answer.get().status == 200 ? 1 : 0;
    }
  }
  CHECK(answered > kPoolSlots);
  const Json counters = site.Backend().Counters();
  for (const Json& vm : counters.at("vms")) {
    CAPTURE(vm.dump());
    CHECK(vm.at("refused") == 0);
    CHECK(vm.at("refused_connections") == 0);
  }
}

// Design 2.5. Guards against an entry that opens more than 7 connections to a
// worker: eight such entries would exceed the worker's 60. The eighth is that
// of a probe.
TEST_CASE("an entry keeps to its connections of a worker") {
  Site::Options options;
  options.entries = 1;
  Site site(options);
  auto answers = CallMany(
      site, 0, kPoolSlots,
      {{"X-Standin-Work-Ms", "300"}, {"Fireflythread-Deadline-Ms", "9000"}});
  for (auto& answer : answers) {
    CHECK(answer.get().status == 200);
  }
  const Json counters = site.Backend().Counters();
  for (const Json& vm : counters.at("vms")) {
    CAPTURE(vm.dump());
    CHECK(vm.at("max_running").get<int>() <= 7);
    CHECK(vm.at("max_connections").get<int>() <= 8);
  }
}

// Design 2.5. Guards against an entry that uses its slots while requests of
// its killed predecessor still run on them.
TEST_CASE("a new entry waits for the slots of its killed predecessor") {
  Site::Options options;
  options.entries = 1;
  Site site(options);
  constexpr int kLongRequests = 70;
  auto cut_off = CallMany(
      site, 0, kLongRequests,
      {{"X-Standin-Work-Ms", "28000"}, {"Fireflythread-Deadline-Ms", "30000"}});
  REQUIRE(WaitUntil(
      [&site] { return site.Backend().Count("started") == kLongRequests; }));
  site.Restart(0);
  REQUIRE(site.WaitReady(0));
  constexpr int kShortRequests = 30;
  auto answers = CallMany(
      site, 0, kShortRequests,
      {{"X-Standin-Work-Ms", "1"}, {"Fireflythread-Deadline-Ms", "1000"}});
  for (auto& answer : answers) {
    const HttpAnswer got = answer.get();
    CHECK((got.status == 200 || got.outcome == "not-run"));
  }
  // The predecessor's requests still run, so this was the time that counts.
  REQUIRE(site.Backend().Count("started") >= kLongRequests);
  CHECK(site.Backend().Count("refused") == 0);
}

}  // namespace fireflythread::test
