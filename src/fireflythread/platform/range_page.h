#ifndef FIREFLYTHREAD_PLATFORM_RANGE_PAGE_H_
#define FIREFLYTHREAD_PLATFORM_RANGE_PAGE_H_

#include <cstdint>
#include <vector>

#include "fireflythread/platform/row.h"

namespace fireflythread {

/// Rows as of revision `revision` of the store, by key. `more` says that later
/// keys were left out.
struct RangePage {
  std::vector<Row> rows;
  bool more = false;
  std::uint64_t revision = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_RANGE_PAGE_H_
