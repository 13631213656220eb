#ifndef FIREFLYTHREAD_PLATFORM_ROW_PAGE_H_
#define FIREFLYTHREAD_PLATFORM_ROW_PAGE_H_

#include <vector>

#include "fireflythread/platform/row.h"

namespace fireflythread {

/// Rows of one table in the order of their keys.
struct RowPage {
  std::vector<Row> rows;
  /// Whether the range has further rows.
  bool more = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_ROW_PAGE_H_
