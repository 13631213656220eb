#ifndef FIREFLYTHREAD_MEMBERSHIP_STORE_HEAD_H_
#define FIREFLYTHREAD_MEMBERSHIP_STORE_HEAD_H_

#include <cstdint>
#include <optional>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// What reads of one `head` row showed.
struct StoreHead {
  /// The highest version that a read showed.
  std::uint64_t version = 0;
  /// The sending time of the latest read that was answered.
  std::optional<TimePoint> read_sent_at;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_STORE_HEAD_H_
