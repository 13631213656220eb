#ifndef FIREFLYTHREAD_CONFIG_CONFIG_EDIT_H_
#define FIREFLYTHREAD_CONFIG_CONFIG_EDIT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fireflythread/base/time.h"
#include "fireflythread/config/config_kind.h"

namespace fireflythread {

/// What an operator asks for: one object's new value or its deletion.
struct ConfigEdit {
  ConfigKind kind = ConfigKind::kProfile;
  std::string name;
  /// The new JSON value; no value deletes the object.
  std::optional<std::string> value;
  /// The row version that the operator edited from; 0 for a new object.
  std::uint64_t from_version = 0;
  /// The operator, for the history.
  std::string who;
  WallTime at;
  /// Names the edit in the history row; unique over all edits.
  std::string nonce;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CONFIG_EDIT_H_
