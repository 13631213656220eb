#ifndef FIREFLYTHREAD_ADMIN_ENTRY_STATUS_H_
#define FIREFLYTHREAD_ADMIN_ENTRY_STATUS_H_

#include <cstdint>
#include <optional>

#include "fireflythread/admin/readiness.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread::admin {

/// One member as the answering entry knows it.
struct EntryStatus {
  EntryId id;
  ZoneName zone;
  /// No value for a member that has not been heard of.
  std::optional<Readiness::State> state;
  std::uint64_t config_version = 0;
  std::uint64_t fleet_version = 0;
  /// Time since its last message; 0 for the answering entry.
  Duration last_heard{0};
  bool is_self = false;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ENTRY_STATUS_H_
