#ifndef FIREFLYTHREAD_ADMIN_EDIT_REQUEST_H_
#define FIREFLYTHREAD_ADMIN_EDIT_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fireflythread/admin/object_kind.h"
#include "fireflythread/base/time.h"

namespace fireflythread::admin {

/// An operator's edit of one configuration object.
struct EditRequest {
  ObjectKind kind = ObjectKind::kProfile;
  std::string name;
  /// The object's new JSON; no value deletes it.
  std::optional<std::string> body;
  /// The version that the operator edited from; 0 requires that the object
  /// does not exist yet.
  std::uint64_t expected_version = 0;
  /// The name that belongs to the operator's token, for the history.
  std::string who;
  /// How long to wait for acceptance by a majority before the edit is reported
  /// as pending. 0 reports it once committed.
  Duration wait{0};
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_EDIT_REQUEST_H_
