#ifndef FIREFLYTHREAD_FLEET_ROW_ERROR_H_
#define FIREFLYTHREAD_FLEET_ROW_ERROR_H_

#include <string>

namespace fireflythread {

/// A row whose value cannot be used, and why.
struct RowError {
  std::string table;
  std::string key;
  std::string reason;

  auto operator==(const RowError&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_ROW_ERROR_H_
