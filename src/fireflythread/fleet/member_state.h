#ifndef FIREFLYTHREAD_FLEET_MEMBER_STATE_H_
#define FIREFLYTHREAD_FLEET_MEMBER_STATE_H_

#include <cstdint>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// What the controller knows of one registered entry (itself included).
struct MemberState {
  /// From the entry's row in the table.
  std::uint64_t incarnation = 0;
  /// When a message of this incarnation last arrived, on the controller's
  /// clock; the start of the controller's term when none has.
  TimePoint last_heard;
  /// The highest fleet version that this incarnation said it has applied.
  std::uint64_t fleet_version = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_MEMBER_STATE_H_
