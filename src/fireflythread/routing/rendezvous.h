#ifndef FIREFLYTHREAD_ROUTING_RENDEZVOUS_H_
#define FIREFLYTHREAD_ROUTING_RENDEZVOUS_H_

#include <string_view>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Orders the members by their rendezvous weight (highest random weight) for
/// a key. Every entry computes the same order, whatever the order of its list.
[[nodiscard]] auto RankMembers(std::string_view key,
                               std::vector<EntryId> members)
    -> std::vector<EntryId>;

/// The entry that owns a slot of a worker: the members take turns in the
/// worker's order, so that with as many slots as members each owns one, which
/// a hash of each slot by itself does not give.
[[nodiscard]] auto SlotOwner(int slot, const std::vector<EntryId>& ranked)
    -> const EntryId&;

/// This member's part of a whole number that is split over all of them. The
/// parts add up to `total`; the remainder goes to the first in the key's order.
[[nodiscard]] auto MemberShare(int total,
                               std::string_view key,
                               const EntryId& self,
                               const std::vector<EntryId>& members) -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ROUTING_RENDEZVOUS_H_
