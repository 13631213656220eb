#ifndef FIREFLYTHREAD_DAEMON_HEAD_WRITE_H_
#define FIREFLYTHREAD_DAEMON_HEAD_WRITE_H_

#include <cstdint>

#include "fireflythread/membership/head_kind.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {

/// Reason of a NotCommitted outcome after the result of a write was unknown:
/// the write can no longer take effect, but it may have taken effect before.
inline constexpr char kSettledReason[] = "settled after a lost answer";

/// A transaction that takes a head row from one version to the next.
struct HeadWrite {
  HeadKind kind = HeadKind::kFleet;
  Transaction transaction;
  /// The numbers in the head row before and after.
  std::uint64_t from_head = 0;
  std::uint64_t to_head = 0;
  /// Table revision of the head row that the transaction requires.
  std::uint64_t head_row_version = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_HEAD_WRITE_H_
