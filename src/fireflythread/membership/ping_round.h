#ifndef FIREFLYTHREAD_MEMBERSHIP_PING_ROUND_H_
#define FIREFLYTHREAD_MEMBERSHIP_PING_ROUND_H_

#include <cstdint>
#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/membership/head_versions.h"

namespace fireflythread {

/// What one peer answered in one round. Several answers of a peer, by a
/// duplicated message or after a restart, add up to the least favourable one.
struct RoundAnswer {
  HeadVersions versions;
  /// False once an answer said `recovering` or `unresolved_write`.
  bool vouches = true;
};

/// One question to all peers and the answers to it.
struct PingRound {
  std::uint64_t round = 0;
  /// Taken before the first message was sent; a confirmation is dated to it.
  TimePoint sent_at;
  std::map<EntryId, RoundAnswer> answers;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_PING_ROUND_H_
