#ifndef FIREFLYTHREAD_MEMBERSHIP_ACCEPTANCE_H_
#define FIREFLYTHREAD_MEMBERSHIP_ACCEPTANCE_H_

#include <cstdint>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/membership/acceptance_watch.h"
#include "fireflythread/membership/fwd.h"
#include "fireflythread/membership/pong_answer.h"

namespace fireflythread {

/// Takes a peer's answer that TakePong() accepted. A version counts as
/// accepted only when one moment is known at which a majority had it in force:
/// reports of different moments would count a member that reported, restarted
/// and recovered an older state meanwhile. So at least two rounds are needed.
auto WatchPong(AcceptanceWatch& watch,
               const Membership& membership,
               const EntryId& sender,
               std::uint64_t incarnation,
               const PongAnswer& answer,
               TimePoint now) -> void;

/// Counts this entry's own versions; to be called when they change and on a
/// timer. Returns true once the version is accepted.
auto WatchSelf(AcceptanceWatch& watch,
               const Membership& membership,
               TimePoint now) -> bool;

/// The members that need not acknowledge `watch.version` any more: they report
/// an older version, recover, or have answered nothing for the freshness limit
/// plus the longest request, and as much time has passed since the version was
/// accepted. Since then no entry confirmed an older version, so none has a
/// request in flight that it sent by one. Empty before that.
[[nodiscard]] auto GoneMembers(const AcceptanceWatch& watch,
                               const Membership& membership,
                               const MembershipSettings& settings,
                               TimePoint now) -> std::vector<EntryId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_ACCEPTANCE_H_
