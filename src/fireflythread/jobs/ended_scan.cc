#include "fireflythread/jobs/ended_scan.h"

#include <algorithm>
#include <chrono>
#include <iterator>

#include "fireflythread/jobs/job_codec.h"

namespace fireflythread {
namespace {

/// Callers may query a final state for 2 minutes after the end. The rest allows
/// for clock differences between entries and for late repeats. A cancel
/// tombstone outlasts every submission that was on its way: the listener takes
/// none that is older than a minute.
constexpr std::chrono::minutes kEndedRetention{10};

/// Time between two scans.
constexpr std::chrono::minutes kScanPause{1};

/// Time between two pages of a scan. A page holds 500 rows, so that the table
/// of a pool in which 100 jobs end in a second does not grow.
constexpr std::chrono::seconds kPagePause{5};

}  // namespace

auto IsPageDue(EndedScan& scan, TimePoint now) -> bool {
  if (!scan.next_page) {
    scan.next_page = now + kScanPause;
  }
  return scan.expired.empty() && now >= *scan.next_page;
}

auto ApplyEndedPage(EndedScan& scan,
                    const RangePage& page,
                    TimePoint now,
                    WallTime wall_now) -> void {
  for (const Row& row : page.rows) {
    const auto ended_at = DecodeEndedTime(row.value);
    if (ended_at && wall_now - *ended_at > kEndedRetention) {
      scan.expired.push_back(row);
    }
  }
  const bool more = page.more && !page.rows.empty();
  // The smallest key after the last one read.
  scan.from = more ? page.rows.back().key + '\x01' : "";
  scan.next_page = now + (more ? Duration(kPagePause) : Duration(kScanPause));
}

auto TakeExpiredRows(EndedScan& scan, std::size_t max_rows)
    -> std::vector<Row> {
  const auto count =
      static_cast<std::ptrdiff_t>(std::min(max_rows, scan.expired.size()));
  const auto end = scan.expired.begin() + count;
  std::vector<Row> rows(std::make_move_iterator(scan.expired.begin()),
                        std::make_move_iterator(end));
  scan.expired.erase(scan.expired.begin(), end);
  return rows;
}

}  // namespace fireflythread
