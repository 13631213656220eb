#ifndef FIREFLYTHREAD_LEASE_LEASE_SETTINGS_H_
#define FIREFLYTHREAD_LEASE_LEASE_SETTINGS_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Times from section 2.3 of the design.
struct LeaseSettings {
  Duration duration = std::chrono::seconds(3);
  /// How often the holder renews, and how long a write may be outstanding
  /// before it is sent again.
  Duration renew_every = std::chrono::seconds(1);
  /// How often the rows are read by an entry that does not hold the lease.
  Duration read_every = std::chrono::milliseconds(500);
  /// The holder stops this much before the lease ends, to cover the drift
  /// between clocks and the time a decision takes to be carried out.
  Duration margin = std::chrono::milliseconds(500);
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_LEASE_LEASE_SETTINGS_H_
