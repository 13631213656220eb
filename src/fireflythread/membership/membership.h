#ifndef FIREFLYTHREAD_MEMBERSHIP_MEMBERSHIP_H_
#define FIREFLYTHREAD_MEMBERSHIP_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/membership/head_versions.h"
#include "fireflythread/membership/peer_report.h"
#include "fireflythread/membership/ping_round.h"
#include "fireflythread/membership/recovery_round.h"
#include "fireflythread/membership/store_head.h"

namespace fireflythread {

/// One entry's view of its cell. The functions in freshness.h, ping.h,
/// recovery.h and acceptance.h work on it.
struct Membership {
  EntryId self;
  /// All members with this entry among them. A majority is counted over them.
  std::set<EntryId> members;
  /// The versions in force at this entry; never lowered.
  HeadVersions applied;
  /// True until the control state was read from the store or from a majority.
  bool recovering = true;
  /// Nonces of own writes of a head row that are outstanding or of unknown
  /// result.
  std::set<std::string> unresolved_writes;

  /// The number of the next round. Starts from the incarnation, a random
  /// number, so that an answer to a predecessor's round matches none of ours.
  std::uint64_t next_round = 0;
  /// Recent rounds, oldest first.
  std::deque<PingRound> rounds;
  std::map<EntryId, PeerReport> peers;
  std::optional<RecoveryRound> recovery;

  StoreHead store_config;
  StoreHead store_fleet;
  /// The latest sending time of a question whose answers confirmed that the
  /// applied versions were current.
  std::optional<TimePoint> confirmed_at;
};

/// A recovering entry that knows no versions yet. `members` must hold `self`.
[[nodiscard]] auto MakeMembership(EntryId self,
                                  std::uint64_t incarnation,
                                  const std::vector<EntryId>& members)
    -> Membership;

/// The number of members that make a majority: more than half of all.
[[nodiscard]] auto MajorityOf(const Membership& membership) -> std::size_t;

/// The peers that have answered no question sent within `silent_after`.
[[nodiscard]] auto SilentPeers(const Membership& membership,
                               Duration silent_after,
                               TimePoint now) -> std::vector<EntryId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_MEMBERSHIP_H_
