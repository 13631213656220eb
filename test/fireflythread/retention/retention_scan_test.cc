#include "fireflythread/retention/retention_scan.h"

#include <catch2/catch.hpp>
#include <map>

#include "fireflythread/retention/removal.h"
#include "fireflythread/retention/retention_facts.h"
#include "fireflythread/retention/retention_limits.h"
#include "fireflythread/retry/idempotency_record.h"

namespace fireflythread {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

const WallTime kWall{hours(24 * 20000)};

auto Facts() -> RetentionFacts {
  RetentionFacts facts;
  facts.wall_time = kWall;
  facts.fence = {"lease", "controller_epoch", 7};
  facts.incarnations = {{EntryId("entry-1"), 5}};
  return facts;
}

auto RecordRow(const std::string& key, RecordState state, hours age) -> Row {
  IdempotencyRecord record;
  record.entry = EntryId("entry-1");
  record.incarnation = 5;
  record.state = state;
  record.claimed_at = kWall - age;
  if (state == RecordState::kAnswered) {
    record.answer = RecordedAnswer{200, {}, "", "answers/" + key};
  }
  return {"request", key, 3, EncodeRecord(record)};
}

/// The keys removed of these records.
auto Removed(const std::vector<Row>& rows, const RetentionFacts& facts)
    -> std::string {
  RetentionScan scan;
  std::string keys;
  for (const Removal& removal :
       TakeRetentionPage(scan, {}, {rows, false}, facts, TimePoint())) {
    keys += removal.transaction.writes.front().key;
  }
  return keys;
}

}  // namespace

// Guards against a key that is forgotten within the retention time, so that a
// repeat runs again, and against a removal by a controller that has lost its
// lease or of a row that has changed.
TEST_CASE("only records beyond the retention time are removed") {
  const RetentionFacts facts = Facts();
  const RowPage page{{RecordRow("a", RecordState::kAnswered, hours(721)),
                      RecordRow("b", RecordState::kAnswered, hours(719)),
                      RecordRow("c", RecordState::kUnknown, hours(721)),
                      {"request", "d", 4, "unreadable"}},
                     false};
  RetentionScan scan;
  const auto removals = TakeRetentionPage(scan, {}, page, facts, TimePoint());
  REQUIRE(removals.size() == 2);
  CHECK(removals[0].objects == std::vector<std::string>{"answers/a"});
  const Transaction& transaction = removals[0].transaction;
  REQUIRE(transaction.conditions.size() == 2);
  CHECK(transaction.conditions[0].key == "controller_epoch");
  CHECK(transaction.conditions[0].version == 7);
  CHECK(transaction.conditions[1].key == "a");
  CHECK(transaction.conditions[1].version == 3);
  CHECK_FALSE(transaction.writes.at(0).value.has_value());
  CHECK(removals[1].transaction.writes.at(0).key == "c");
}

// Guards against the removal of a claim whose entry may yet write its end, and
// of records that another cell's entries wrote.
TEST_CASE("a claim is removed only when its entry's process is gone") {
  const Row claim = RecordRow("a", RecordState::kClaimed, hours(10000));
  RetentionFacts facts = Facts();
  CHECK(Removed({claim}, facts).empty());
  facts.stopped.insert(EntryId("entry-1"));
  CHECK(Removed({claim}, facts) == "a");
  facts.stopped.clear();
  facts.incarnations[EntryId("entry-1")] = 6;
  CHECK(Removed({claim}, facts) == "a");
  facts.incarnations.clear();
  CHECK(Removed({claim}, facts).empty());
}

// Guards against a pass that misses rows or tables, never ends, or loads the
// store without pauses.
TEST_CASE("a pass reads each row of all tables once at a bounded rate") {
  RetentionLimits limits;
  limits.rows_per_second = 10;
  std::map<std::string, std::vector<Row>> tables;
  for (const char* table : {"request", "history", "wave", "task"}) {
    for (int i = 0; i < 25; ++i) {
      tables[table].push_back({table, std::string(1, 'a' + i), 1, "{}"});
    }
  }
  RetentionScan scan;
  int pages = 0;
  std::map<std::string, int> seen;
  TimePoint now;
  const TimePoint end = now + seconds(60);
  for (; now < end; now += std::chrono::milliseconds(250)) {
    const auto request = NextRetentionPage(scan, limits, now);
    if (!request) {
      continue;
    }
    ++pages;
    RowPage page;
    for (const Row& row : tables.at(request->table)) {
      if (row.key <= request->above) {
        continue;
      }
      if (page.rows.size() == 10) {
        page.more = true;
        break;
      }
      page.rows.push_back(row);
      ++seen[row.table + row.key];
    }
    CHECK(TakeRetentionPage(scan, limits, page, Facts(), now).empty());
  }
  CHECK(pages == 12);
  CHECK(seen.size() == 100);
  CHECK(NextRetentionPage(scan, limits, now + limits.pass_pause).has_value());
}

}  // namespace fireflythread
