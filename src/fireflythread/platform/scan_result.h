#ifndef FIREFLYTHREAD_PLATFORM_SCAN_RESULT_H_
#define FIREFLYTHREAD_PLATFORM_SCAN_RESULT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/platform/row.h"

namespace fireflythread {

/// Rows of one table that were written after a revision, and the keys deleted
/// since, as of `revision`.
struct ScanResult {
  std::uint64_t revision = 0;
  std::vector<Row> rows;
  std::vector<std::string> deleted;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_SCAN_RESULT_H_
