#ifndef FIREFLYTHREAD_ADMIN_CONFIG_OBJECT_H_
#define FIREFLYTHREAD_ADMIN_CONFIG_OBJECT_H_

#include <cstdint>
#include <string>

#include "fireflythread/admin/object_kind.h"

namespace fireflythread::admin {

/// One profile, service, pool or team as the API shows it.
struct ConfigObject {
  ObjectKind kind = ObjectKind::kProfile;
  std::string name;
  /// The table revision of the object's row; what If-Match refers to.
  std::uint64_t version = 0;
  /// A JSON object with the fields that the config module's codec writes.
  std::string body;

  auto operator==(const ConfigObject&) const -> bool = default;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_CONFIG_OBJECT_H_
