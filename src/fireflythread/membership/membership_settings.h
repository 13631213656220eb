#ifndef FIREFLYTHREAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
#define FIREFLYTHREAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_

#include <chrono>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Limits from section 2.2 and 2.4 of the design.
struct MembershipSettings {
  /// How long an entry serves on after a confirmation.
  Duration freshness_limit = std::chrono::seconds(2);
  /// The longest that a request may run at a backend server.
  Duration longest_request = std::chrono::seconds(30);
  /// A peer that has answered no question of this age or younger is suspect.
  Duration silent_after = std::chrono::milliseconds(1500);
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
