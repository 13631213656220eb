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

/// A search for old rows in the table of ended jobs, one page at a time.
struct EndedScan {
  /// Where the next page begins; empty for the start of the table.
  std::string from;
  /// No value before the first look at the clock.
  std::optional<TimePoint> next_page;
  /// Rows to remove.
  std::vector<Row> expired;
};

/// Whether a page is to be read. The first one is read some time after the
/// search was made, as a new owner has more urgent things to read.
[[nodiscard]] auto IsPageDue(EndedScan& scan, TimePoint now) -> bool;

/// Takes the rows of a page that are old enough to be removed.
auto ApplyEndedPage(EndedScan& scan,
                    const RangePage& page,
                    TimePoint now,
                    WallTime wall_now) -> void;

/// Takes rows to remove off the search, at most `max_rows`.
[[nodiscard]] auto TakeExpiredRows(EndedScan& scan, std::size_t max_rows)
    -> std::vector<Row>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_ENDED_SCAN_H_
