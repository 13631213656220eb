#ifndef FIREFLYTHREAD_LEASE_HELD_LEASE_H_
#define FIREFLYTHREAD_LEASE_HELD_LEASE_H_

#include <cstdint>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// The lease as its holder knows it.
struct HeldLease {
  std::uint64_t epoch = 0;
  /// The version of the row `lease/controller_epoch` as acquired.
  std::uint64_t epoch_version = 0;
  /// The holder steps down at this time.
  TimePoint valid_until;
  /// When the latest renewal was sent.
  TimePoint renewed_at;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_LEASE_HELD_LEASE_H_
