#ifndef FIREFLYTHREAD_MEMBERSHIP_PONG_ANSWER_H_
#define FIREFLYTHREAD_MEMBERSHIP_PONG_ANSWER_H_

#include <cstdint>

#include "fireflythread/membership/head_versions.h"

namespace fireflythread {

/// What an entry says of its control state.
struct PongAnswer {
  /// Copied from the question.
  std::uint64_t round = 0;
  HeadVersions versions;
  /// The entry has not yet recovered its control state.
  bool recovering = false;
  /// The entry has a write of a head row whose result it does not know.
  bool unresolved_write = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_PONG_ANSWER_H_
