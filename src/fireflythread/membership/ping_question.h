#ifndef FIREFLYTHREAD_MEMBERSHIP_PING_QUESTION_H_
#define FIREFLYTHREAD_MEMBERSHIP_PING_QUESTION_H_

#include <cstdint>

#include "fireflythread/membership/head_versions.h"

namespace fireflythread {

/// Asks a peer whether it knows of a newer control state.
struct PingQuestion {
  std::uint64_t round = 0;
  /// The asking entry's versions.
  HeadVersions versions;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_PING_QUESTION_H_
