#ifndef FIREFLYTHREAD_LEASE_LEASE_STEP_H_
#define FIREFLYTHREAD_LEASE_LEASE_STEP_H_

#include <cstdint>
#include <optional>

#include "fireflythread/platform/transaction.h"

namespace fireflythread {

enum class LeaseChange : std::uint8_t {
  kNone,
  /// The entry is the controller now.
  kAcquired,
  /// The entry is no longer the controller.
  kLost
};

/// What the caller has to do after an input to the lease.
struct LeaseStep {
  LeaseChange change = LeaseChange::kNone;
  /// To be committed at once, with one call of TakeLeaseOutcome() after it.
  std::optional<Transaction> transaction;
  /// Both lease rows are to be read and given to TakeLeaseRows().
  bool read_rows = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_LEASE_LEASE_STEP_H_
