#ifndef FIREFLYTHREAD_LEASE_LEASE_ATTEMPT_H_
#define FIREFLYTHREAD_LEASE_LEASE_ATTEMPT_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/time.h"

namespace fireflythread {

enum class LeaseAttemptKind : std::uint8_t { kAcquire, kRenew, kRelease };

/// A write of the lease row by this entry whose result is not yet known.
struct LeaseAttempt {
  LeaseAttemptKind kind = LeaseAttemptKind::kAcquire;
  std::string nonce;
  std::uint64_t epoch = 0;
  /// The lease row version that the write requires.
  std::uint64_t lease_version = 0;
  TimePoint sent_at;
  /// The sending time of the first write of unknown result that required this
  /// row version. A lease that is found by reading back is dated to it, since
  /// any of these writes may be the one that took effect.
  TimePoint first_sent_at;
  /// False once the answer arrived or was lost.
  bool outstanding = true;
  /// A read sent after the answer was lost shows that no write had taken
  /// effect yet, so the write may be sent again.
  bool may_repeat = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_LEASE_LEASE_ATTEMPT_H_
