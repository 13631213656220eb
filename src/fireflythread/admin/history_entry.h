#ifndef FIREFLYTHREAD_ADMIN_HISTORY_ENTRY_H_
#define FIREFLYTHREAD_ADMIN_HISTORY_ENTRY_H_

#include <cstdint>
#include <string>

#include "fireflythread/admin/object_kind.h"
#include "fireflythread/base/time.h"

namespace fireflythread::admin {

/// One edit out of the `history` table.
struct HistoryEntry {
  /// The configuration version that the edit made.
  std::uint64_t version = 0;
  WallTime when;
  std::string who;
  ObjectKind kind = ObjectKind::kProfile;
  std::string name;
  /// The version of the object that the edit started from.
  std::uint64_t from_version = 0;
  /// JSON before and after; empty for an absent object.
  std::string old_body;
  std::string new_body;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_HISTORY_ENTRY_H_
