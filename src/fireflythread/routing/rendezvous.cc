#include "fireflythread/routing/rendezvous.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "fireflythread/base/assert.h"

namespace fireflythread {

namespace {

// FNV-1a followed by the finalizer of SplitMix64. With FNV-1a alone, names that
// differ only in the last character get nearly the same order for every key.
constexpr std::uint64_t kFnvOffset = 0xcbf29ce484222325U;
constexpr std::uint64_t kFnvPrime = 0x100000001b3U;

auto HashBytes(std::string_view text, std::uint64_t hash) -> std::uint64_t {
  for (const char c : text) {
    hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  }
  return hash;
}

auto Weight(std::string_view key, std::string_view member) -> std::uint64_t {
  std::uint64_t hash = HashBytes(key, kFnvOffset) * kFnvPrime;
  hash = HashBytes(member, hash);
  hash = (hash ^ (hash >> 30U)) * 0xbf58476d1ce4e5b9U;
  hash = (hash ^ (hash >> 27U)) * 0x94d049bb133111ebU;
  return hash ^ (hash >> 31U);
}

}  // namespace

auto RankMembers(std::string_view key, std::vector<EntryId> members)
    -> std::vector<EntryId> {
  std::sort(members.begin(), members.end(),
            [&](const EntryId& left, const EntryId& right) {
              return std::pair(Weight(key, left.value), left.value) >
                     std::pair(Weight(key, right.value), right.value);
            });
  return members;
}

auto SlotOwner(int slot, const std::vector<EntryId>& ranked) -> const EntryId& {
  FIREFLYTHREAD_ASSERT(slot >= 0 && !ranked.empty(),
                       "a slot is owned by one of the members");
  return ranked[static_cast<std::size_t>(slot) % ranked.size()];
}

auto MemberShare(int total,
                 std::string_view key,
                 const EntryId& self,
                 const std::vector<EntryId>& members) -> int {
  const std::vector<EntryId> ranked = RankMembers(key, members);
  const auto place = std::find(ranked.begin(), ranked.end(), self);
  const auto count = static_cast<int>(ranked.size());
  if (place == ranked.end()) {
    return 0;
  }
  const auto rank = static_cast<int>(place - ranked.begin());
  return total / count + (rank < total % count ? 1 : 0);
}

}  // namespace fireflythread
