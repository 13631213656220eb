#ifndef FIREFLYTHREAD_RELAY_TRANSIT_DELAY_H_
#define FIREFLYTHREAD_RELAY_TRANSIT_DELAY_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// The difference between the receiver's and the sender's clock over the
/// messages of one sender. Both clocks count suspended time, have unrelated
/// starts and may drift apart slowly.
struct TransitDelay {
  /// The smallest differences seen in the current period and in the one before.
  /// The largest value of all means that there was no message.
  Duration current_min = Duration::max();
  Duration previous_min = Duration::max();
  TimePoint period_began;
};

/// Length of a period. Short enough that clocks which drift by a few percent
/// cause an error of less than a second.
inline constexpr std::chrono::seconds kTransitPeriod{10};

/// Records a message and returns how much longer it was under way than the
/// fastest recent one: in a socket, in the network or in a process that was
/// paused. `sent_at` is on the sender's clock and `now` on the receiver's. The
/// first message of a sender has no delay.
[[nodiscard]] auto RecordTransit(TransitDelay& transit,
                                 TimePoint sent_at,
                                 TimePoint now) -> Duration;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_TRANSIT_DELAY_H_
