#ifndef FIREFLYTHREAD_ADMIN_EDIT_RESULT_H_
#define FIREFLYTHREAD_ADMIN_EDIT_RESULT_H_

#include <cstdint>
#include <set>
#include <string>
#include <variant>

#include "fireflythread/admin/admin_error.h"
#include "fireflythread/base/ids.h"

namespace fireflythread::admin {

/// The edit is committed. `accepted` says that a majority of the members of
/// every cell have applied it; otherwise it is pending.
struct EditDone {
  /// The number in `config/head` after the edit.
  std::uint64_t config_version = 0;
  /// The object's new version; 0 when it was deleted.
  std::uint64_t object_version = 0;
  bool accepted = false;
  /// While it is pending: the cells that may still serve with an older
  /// version, as far as known.
  std::set<CellName> missing_cells = {};
};

/// Somebody else changed the object since `expected_version`.
struct EditConflict {
  std::uint64_t expected_version = 0;
  /// 0 when the object no longer exists.
  std::uint64_t current_version = 0;
  /// The object's JSON as it is now; empty when it no longer exists.
  std::string current_body;
};

using EditResult = std::variant<EditDone, EditConflict, AdminError>;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_EDIT_RESULT_H_
