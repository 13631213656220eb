#include "fireflythread/membership/membership.h"

#include <utility>

#include "fireflythread/base/assert.h"

namespace fireflythread {

auto MakeMembership(EntryId self,
                    std::uint64_t incarnation,
                    const std::vector<EntryId>& members) -> Membership {
  Membership membership;
  membership.self = std::move(self);
  membership.members.insert(members.begin(), members.end());
  FIREFLYTHREAD_ASSERT(membership.members.contains(membership.self),
                       "the entry is one of the members");
  membership.next_round = incarnation;
  return membership;
}

auto MajorityOf(const Membership& membership) -> std::size_t {
  return membership.members.size() / 2 + 1;
}

auto SilentPeers(const Membership& membership,
                 Duration silent_after,
                 TimePoint now) -> std::vector<EntryId> {
  std::vector<EntryId> silent;
  for (const EntryId& member : membership.members) {
    if (member == membership.self) {
      continue;
    }
    const auto report = membership.peers.find(member);
    if (report == membership.peers.end() ||
        now - report->second.answered_question_of > silent_after) {
      silent.push_back(member);
    }
  }
  return silent;
}

}  // namespace fireflythread
