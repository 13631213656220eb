#ifndef FIREFLYTHREAD_MEMBERSHIP_RECOVERY_H_
#define FIREFLYTHREAD_MEMBERSHIP_RECOVERY_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/membership/fwd.h"
#include "fireflythread/membership/head_versions.h"
#include "fireflythread/membership/recovered_state.h"
#include "fireflythread/membership/snapshot_offer.h"

namespace fireflythread {

/// The round number to ask all peers for their control state with. Every call
/// until recovery ends gives the same number, so that the question can be
/// repeated to peers that did not answer.
[[nodiscard]] auto StartRecovery(Membership& membership) -> std::uint64_t;

/// This entry's answer to a recovering peer. `rows` are all rows of both
/// tables at the applied versions; they are left out while it recovers itself.
[[nodiscard]] auto OfferSnapshot(const Membership& membership,
                                 std::uint64_t round,
                                 std::vector<Row> rows) -> SnapshotOffer;

/// Takes a peer's offer. Offers of another round, from strangers, by
/// recovering peers, and offers whose rows are not whole have no effect.
/// Returns true if the offer was kept.
auto TakeOffer(Membership& membership,
               const EntryId& sender,
               SnapshotOffer offer) -> bool;

/// The highest state, once a majority of all members, this entry not counted,
/// has offered. A peer with an unresolved write does not count towards the
/// majority, but its state may be the highest.
[[nodiscard]] auto RecoveredByQuorum(const Membership& membership)
    -> std::optional<RecoveredState>;

/// Ends recovery after the caller has applied a state that was read from the
/// store by reads sent after the process started, or RecoveredByQuorum().
auto FinishRecovery(Membership& membership, const HeadVersions& applied)
    -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_RECOVERY_H_
