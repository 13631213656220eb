#ifndef FIREFLYTHREAD_MEMBERSHIP_ACCEPTANCE_WATCH_H_
#define FIREFLYTHREAD_MEMBERSHIP_ACCEPTANCE_WATCH_H_

#include <cstdint>
#include <map>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/membership/head_kind.h"

namespace fireflythread {

/// The span in which one incarnation of a member certainly had the version in
/// force: from the receipt of its first such answer to the sending of the last
/// question that it so answered.
struct AppliedSpan {
  std::uint64_t incarnation = 0;
  TimePoint from;
  TimePoint to;
};

/// Waits until a majority of members has applied a version.
struct AcceptanceWatch {
  HeadKind kind = HeadKind::kConfig;
  std::uint64_t version = 0;
  std::map<EntryId, AppliedSpan> spans;
  /// A moment at which a majority had the version in force; no value while
  /// the version is pending.
  std::optional<TimePoint> accepted_at;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_ACCEPTANCE_WATCH_H_
