#ifndef FIREFLYTHREAD_PLATFORM_PAGE_REQUEST_H_
#define FIREFLYTHREAD_PLATFORM_PAGE_REQUEST_H_

#include <string>

namespace fireflythread {

/// Names some rows of a table by their keys.
struct PageRequest {
  std::string table;
  /// Both bounds are exclusive; an empty one is none.
  std::string above;
  std::string below;
  /// 1 to 1000 rows.
  int limit = 100;
  /// From the highest key downwards.
  bool descending = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_PAGE_REQUEST_H_
