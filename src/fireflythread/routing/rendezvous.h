#ifndef FIREFLYTHREAD_ROUTING_RENDEZVOUS_H_
#define FIREFLYTHREAD_ROUTING_RENDEZVOUS_H_

#include <string_view>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Orders the members by their rendezvous weight (highest random weight) for
/// a key. All entries compute the same order for the same set of members.
[[nodiscard]] auto RankMembers(std::string_view key,
                               std::vector<EntryId> members)
    -> std::vector<EntryId>;

/// Returns the entry that owns a slot of a worker. Slots are assigned to the
/// ranked members in rotation, so that with as many slots as members each owns
/// one; hashing each slot separately would not ensure that.
[[nodiscard]] auto SlotOwner(int slot, const std::vector<EntryId>& ranked)
    -> const EntryId&;

/// Returns this member's share of `total`, an integer that is split among all
/// members. The shares add up to `total`; the remainder goes to the first
/// members in the key's order. The share of a non-member is 0.
[[nodiscard]] auto MemberShare(int total,
                               std::string_view key,
                               const EntryId& self,
                               const std::vector<EntryId>& members) -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ROUTING_RENDEZVOUS_H_
