#ifndef FIREFLYTHREAD_JOBS_ENDED_SCAN_H_
#define FIREFLYTHREAD_JOBS_ENDED_SCAN_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/platform/range_page.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {

/// A scan of the table of ended jobs for expired rows, one page at a time.
struct EndedScan {
  /// Key at which the next page begins; empty for the start of the table.
  std::string from;
  /// Time at which the next page is due; no value before the first call of
  /// IsPageDue().
  std::optional<TimePoint> next_page;
  /// Expired rows that are still to be removed.
  std::vector<Row> expired;
};

/// Returns whether a page is to be read. The first page is delayed, because a
/// new owner has more urgent rows to read.
[[nodiscard]] auto IsPageDue(EndedScan& scan, TimePoint now) -> bool;

/// Adds the rows of a page that are old enough to be removed to `scan.expired`
/// and schedules the next page.
auto ApplyEndedPage(EndedScan& scan,
                    const RangePage& page,
                    TimePoint now,
                    WallTime wall_now) -> void;

/// Removes up to `max_rows` expired rows from the scan and returns them.
[[nodiscard]] auto TakeExpiredRows(EndedScan& scan, std::size_t max_rows)
    -> std::vector<Row>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ENDED_SCAN_H_
