#ifndef FIREFLYTHREAD_PLATFORM_RANGE_REQUEST_H_
#define FIREFLYTHREAD_PLATFORM_RANGE_REQUEST_H_

#include <string>

namespace fireflythread {

/// Rows of one part of a table, by key: `from` is included, `to` is not; empty
/// means no bound.
struct RangeRequest {
  std::string table;
  std::string part = {};
  std::string from = {};
  std::string to = {};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_RANGE_REQUEST_H_
