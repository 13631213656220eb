#ifndef FIREFLYTHREAD_LEASE_LEASE_STATE_H_
#define FIREFLYTHREAD_LEASE_LEASE_STATE_H_

#include <cstdint>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/lease/held_lease.h"
#include "fireflythread/lease/lease_attempt.h"
#include "fireflythread/lease/watched_lease.h"

namespace fireflythread {

/// One entry's part in the controller lease. Set `self` and `incarnation`; the
/// functions in lease.h change the rest.
struct LeaseState {
  EntryId self;
  std::uint64_t incarnation = 0;

  std::optional<WatchedLease> watched;
  std::optional<HeldLease> held;
  std::optional<LeaseAttempt> attempt;
  /// When the rows were last asked for.
  std::optional<TimePoint> read_asked_at;
  /// When an acquisition was last tried.
  std::optional<TimePoint> acquire_tried_at;
  /// Reads sent before this time may show rows older than `watched`.
  std::optional<TimePoint> watched_as_of;
  /// Set by StopLease(): the entry gives the lease up and takes it no more.
  bool stopping = false;
  /// Numbers the nonces.
  std::uint64_t next_nonce = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_LEASE_LEASE_STATE_H_
