#ifndef FIREFLYTHREAD_LEASE_WATCHED_LEASE_H_
#define FIREFLYTHREAD_LEASE_WATCHED_LEASE_H_

#include <cstdint>
#include <optional>

#include "fireflythread/base/time.h"
#include "fireflythread/lease/lease_record.h"

namespace fireflythread {

/// The two lease rows as last read or written.
struct WatchedLease {
  /// 0 when the row is absent.
  std::uint64_t lease_version = 0;
  std::uint64_t epoch_version = 0;
  /// No value when the row is absent or malformed.
  std::optional<LeaseRecord> record;
  std::uint64_t epoch = 0;
  /// When `lease_version` was first seen, by the receipt of the answer.
  TimePoint unchanged_since;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_LEASE_WATCHED_LEASE_H_
