#ifndef FIREFLYTHREAD_CONFIG_CONFIG_CHANGE_H_
#define FIREFLYTHREAD_CONFIG_CONFIG_CHANGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/platform/row.h"

namespace fireflythread {

/// Rows of the `config` table, its `head` among them, that changed between two
/// states of it.
struct ConfigChange {
  /// The only version that the change can be applied to, for a push by a peer.
  /// Without a value it can be applied to any version not above the new one,
  /// as a scan of the table since an earlier revision can.
  std::optional<std::uint64_t> from_version;
  /// True if `rows` is the whole table; other objects are then gone.
  bool whole = false;
  std::vector<Row> rows;
  /// Keys that were deleted.
  std::vector<std::string> deleted;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CONFIG_CHANGE_H_
