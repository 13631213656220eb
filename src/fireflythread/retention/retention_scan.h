#ifndef FIREFLYTHREAD_RETENTION_RETENTION_SCAN_H_
#define FIREFLYTHREAD_RETENTION_RETENTION_SCAN_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/platform/page_request.h"
#include "fireflythread/platform/row_page.h"
#include "fireflythread/retention/fwd.h"

namespace fireflythread {

/// Where a controller is in its passes over the tables whose rows grow with
/// time.
struct RetentionScan {
  /// Position in the list of tables.
  std::size_t table = 0;
  /// The last key that was handled; empty at the start of a table.
  std::string cursor;
  /// The next page is read then.
  TimePoint next_at = TimePoint::min();
};

/// The page to read now, if it is time; the next one is due a second later,
/// whether this one can be read or not.
[[nodiscard]] auto NextRetentionPage(RetentionScan& scan,
                                     const RetentionLimits& limits,
                                     TimePoint now)
    -> std::optional<PageRequest>;

/// The rows of the page that are removed. Moves the cursor behind the page. A
/// removal that fails is tried again in the next pass.
[[nodiscard]] auto TakeRetentionPage(RetentionScan& scan,
                                     const RetentionLimits& limits,
                                     const RowPage& page,
                                     const RetentionFacts& facts,
                                     TimePoint now) -> std::vector<Removal>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RETENTION_RETENTION_SCAN_H_
