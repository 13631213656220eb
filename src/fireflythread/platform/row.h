#ifndef FIREFLYTHREAD_PLATFORM_ROW_H_
#define FIREFLYTHREAD_PLATFORM_ROW_H_

#include <cstdint>
#include <string>

namespace fireflythread {

/// One row of the platform's table. `version` is the table's revision at the
/// row's last write and is never 0; `value` is JSON text. `part` names the
/// partition of a store that has them; rows of one part commit in sequence.
struct Row {
  std::string table;
  std::string key;
  std::uint64_t version = 0;
  std::string value;
  std::string part = {};

  auto operator==(const Row&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_ROW_H_
