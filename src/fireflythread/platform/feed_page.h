#ifndef FIREFLYTHREAD_PLATFORM_FEED_PAGE_H_
#define FIREFLYTHREAD_PLATFORM_FEED_PAGE_H_

#include <cstdint>
#include <vector>

#include "fireflythread/platform/row.h"

namespace fireflythread {

/// Rows of a table that changed, in the order of their changes. A deleted row
/// is in `deleted` and has no value. `history_lost` says that changes were
/// missed and the table must be read again.
struct FeedPage {
  std::vector<Row> changed;
  std::vector<Row> deleted;
  std::uint64_t revision = 0;
  bool history_lost = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_FEED_PAGE_H_
