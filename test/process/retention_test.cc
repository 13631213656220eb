#include <catch2/catch.hpp>
#include <chrono>
#include <iterator>
#include <map>
#include <set>
#include <string>

#include "test/process/site.h"

namespace fireflythread::test {
namespace {

using Json = nlohmann::json;
using Rows = std::map<std::string, Json>;

constexpr std::int64_t kDayMs = std::int64_t{86400} * 1000;

auto MsAgo(int days) -> std::int64_t {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
             .count() -
         days * kDayMs;
}

auto RecordRow(const std::string& state, int days) -> Json {
  return {{"nonce", "n"},           {"entry", "entry-1"},
          {"incarnation", 1},       {"state", state},
          {"fingerprint", "print"}, {"claimed_at_ms", MsAgo(days)}};
}

auto HistoryRow(int days) -> Json {
  return {{"nonce", "n"},         {"who", "x"},        {"at_ms", MsAgo(days)},
          {"object", "pool/a"},   {"from_version", 0}, {"old", nullptr},
          {"new", Json::object()}};
}

auto Key(int number) -> std::string {
  std::string digits = std::to_string(number);
  return std::string(20 - digits.size(), '0') + digits;
}

/// The number of rows with `from` <= key < `to`.
auto Count(Site& site,
           const std::string& table,
           const std::string& from,
           const std::string& to) -> std::ptrdiff_t {
  const Rows rows = site.Platform().Rows(table);
  return std::distance(rows.lower_bound(from), rows.lower_bound(to));
}

}  // namespace

// Guards against tables that grow without bound, against the removal of rows
// within the retention time, and against a removal that stops for good when the
// controller is killed in the middle of it.
TEST_CASE("old rows are removed and new ones stay") {
  Site::Options options;
  options.settings = "[retention]\nrows_per_second = 20\npass_pause = 100ms\n";
  Site site(options);
  Rows records;
  Rows edits;
  for (int i = 0; i < 100; ++i) {
    const std::string number = std::to_string(i);
    records["take-order/old-" + number] = RecordRow("unknown", 31);
    records["take-order/old-claim-" + number] = RecordRow("claimed", 31);
    records["take-order/new-" + number] = RecordRow("unknown", 29);
    edits[Key(i + 1000)] = HistoryRow(i < 50 ? 91 : 89);
  }
  site.Platform().WriteRows("request", records);
  site.Platform().WriteRows("history", edits);
  const auto old_records = [&] {
    return Count(site, "request", "take-order/old-", "take-order/old.");
  };
  const auto old_edits = [&] {
    return Count(site, "history", Key(1000), Key(1050));
  };
  REQUIRE(WaitUntil([&] { return old_records() < 200; }));
  const std::size_t controller = site.Controller();
  site.Entry(controller).Kill();
  CHECK(old_records() > 0);
  REQUIRE(WaitUntil([&] { return old_records() + old_edits() == 0; },
                    std::chrono::minutes(3)));
  CHECK(Count(site, "request", "take-order/new-", "take-order/new.") == 100);
  CHECK(Count(site, "history", Key(1050), Key(1100)) == 50);
}

// Guards against a history that misses edits between two pages or reads the
// whole table for one.
TEST_CASE("the history is read in pages") {
  Site site;
  Rows edits;
  for (int i = 1; i <= 250; ++i) {
    edits[Key(i + 1000000)] = HistoryRow(1);
  }
  site.Platform().WriteRows("history", edits);
  std::set<std::uint64_t> versions;
  std::string before = "0";
  for (const std::size_t expected : {100U, 100U, 50U}) {
    const Json page = site.Admin(0, "GET", "/v1/history?before=" + before)
                          .Json()
                          .at("history");
    REQUIRE(page.size() >= expected);
    for (const Json& entry : page) {
      versions.insert(entry.at("version").get<std::uint64_t>());
    }
    before = std::to_string(page.back().at("version").get<std::uint64_t>());
  }
  CHECK(versions.lower_bound(1000001) != versions.end());
  CHECK(std::distance(versions.lower_bound(1000001), versions.end()) == 250);
  const Json small = site.Admin(1, "GET", "/v1/history?limit=3").Json();
  CHECK(small.at("history").size() == 3);
  CHECK(small.at("history")[0].at("version") == 1000250);
  CHECK(site.Admin(1, "GET", "/v1/history?limit=1001").status == 400);
}

}  // namespace fireflythread::test
