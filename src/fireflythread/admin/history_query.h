#ifndef FIREFLYTHREAD_ADMIN_HISTORY_QUERY_H_
#define FIREFLYTHREAD_ADMIN_HISTORY_QUERY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fireflythread/admin/object_kind.h"

namespace fireflythread::admin {

/// Which edits to list, newest first.
struct HistoryQuery {
  /// Only versions before this one; 0 begins at the newest.
  std::uint64_t before = 0;
  /// 1 to 1000.
  int limit = 100;
  /// Only edits of one object, when both are given.
  std::optional<ObjectKind> kind;
  std::string name;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_HISTORY_QUERY_H_
