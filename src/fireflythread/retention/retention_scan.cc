#include "fireflythread/retention/retention_scan.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "fireflythread/config/tables.h"
#include "fireflythread/control/wave_codec.h"
#include "fireflythread/retention/removal.h"
#include "fireflythread/retention/retention_facts.h"
#include "fireflythread/retention/retention_limits.h"
#include "fireflythread/retention/row_age.h"
#include "fireflythread/retry/record_steps.h"
#include "fireflythread/tasks/task_codec.h"

namespace fireflythread {
namespace {

constexpr Duration kPagePeriod = std::chrono::seconds(1);

struct GrowingTable {
  std::string_view name;
  internal::ObjectsOfOld (*objects_of_old)(const Row&,
                                           const RetentionLimits&,
                                           const RetentionFacts&);
};

constexpr std::array<GrowingTable, 4> kTables = {{
    {kRequestTable, &internal::OldRecord},
    {kHistoryTable, &internal::OldHistory},
    {kWaveTable, &internal::OldWave},
    {kTaskTable, &internal::OldTask},
}};

}  // namespace

auto NextRetentionPage(RetentionScan& scan,
                       const RetentionLimits& limits,
                       TimePoint now) -> std::optional<PageRequest> {
  if (now < scan.next_at) {
    return std::nullopt;
  }
  scan.next_at = now + kPagePeriod;
  PageRequest request;
  request.table = std::string(kTables.at(scan.table).name);
  request.above = scan.cursor;
  request.limit = limits.rows_per_second;
  return request;
}

auto TakeRetentionPage(RetentionScan& scan,
                       const RetentionLimits& limits,
                       const RowPage& page,
                       const RetentionFacts& facts,
                       TimePoint now) -> std::vector<Removal> {
  std::vector<Removal> removals;
  for (const Row& row : page.rows) {
    auto objects = kTables.at(scan.table).objects_of_old(row, limits, facts);
    if (!objects) {
      continue;
    }
    Removal removal;
    removal.objects = *std::move(objects);
    removal.transaction.nonce = "retention";
    removal.transaction.conditions = {facts.fence,
                                      {row.table, row.key, row.version}};
    removal.transaction.writes = {{row.table, row.key, std::nullopt}};
    removals.push_back(std::move(removal));
  }
  if (page.more) {
    scan.cursor = page.rows.back().key;
    return removals;
  }
  scan.cursor.clear();
  scan.table = (scan.table + 1) % kTables.size();
  if (scan.table == 0) {
    scan.next_at = std::max(scan.next_at, now + limits.pass_pause);
  }
  return removals;
}

}  // namespace fireflythread
