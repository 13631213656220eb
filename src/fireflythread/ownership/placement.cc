#include "fireflythread/ownership/placement.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <string>

namespace fireflythread {
namespace {

/// Returns whether the shard has no acting owner: the owner has stopped, or its
/// entry's row was not renewed within kEntryTimeout.
auto IsOrphan(const OwnershipState& state,
              const ShardOwner& shard,
              TimePoint now) -> bool {
  if (IsFormerOwnerStopped(state, shard)) {
    return true;
  }
  const auto owner = state.entries.find(shard.owner);
  return owner != state.entries.end() &&
         owner->second.incarnation == shard.incarnation &&
         now - owner->second.changed_at >= kEntryTimeout;
}

auto PairHash(const EntryId& entry, const ShardName& shard) -> std::size_t {
  return std::hash<std::string>{}(entry.value + "/" + shard.value);
}

/// Compares the entries by (shards + 1) / capacity without a division. The
/// result is negative if `left` would be loaded less than `right`.
auto CompareLoads(const EntryLoad& left, const EntryLoad& right)
    -> std::int64_t {
  return (std::int64_t{left.shards} + 1) * right.capacity -
         (std::int64_t{right.shards} + 1) * left.capacity;
}

}  // namespace

auto IsAlive(const EntryView& entry, TimePoint now) -> bool {
  return !entry.stopping && now - entry.changed_at < kEntryTimeout;
}

auto IsFormerOwnerStopped(const OwnershipState& state, const ShardOwner& shard)
    -> bool {
  if (shard.owner.empty()) {
    return true;
  }
  const auto owner = state.entries.find(shard.owner);
  return owner != state.entries.end() &&
         owner->second.incarnation != shard.incarnation &&
         owner->second.version > shard.version;
}

auto CapacityOf(const EntryCapacity& capacity) -> int {
  const std::int64_t link =
      std::int64_t{capacity.link_mbps} * kMillicoresPerMbps;
  return static_cast<int>(std::max<std::int64_t>(
      1, std::min<std::int64_t>(capacity.cpu_millicores, link)));
}

auto MakePlacement(const OwnershipState& state, TimePoint now) -> Placement {
  Placement placement;
  for (const auto& [id, entry] : state.entries) {
    if (IsAlive(entry, now)) {
      placement.loads[id].capacity = CapacityOf(entry.capacity);
    }
  }
  for (const ShardName& name : state.wanted) {
    const auto shard = state.shards.find(name);
    if (shard == state.shards.end() || IsOrphan(state, shard->second, now)) {
      placement.orphans.push_back(name);
      continue;
    }
    const auto owner = placement.loads.find(shard->second.owner);
    if (owner != placement.loads.end()) {
      ++owner->second.shards;
    }
  }
  return placement;
}

auto ChooseEntry(const std::map<EntryId, EntryLoad>& loads,
                 const ShardName& shard) -> std::optional<EntryId> {
  const auto choice = std::min_element(
      loads.begin(), loads.end(),
      [&shard](const auto& left, const auto& right) -> bool {
        const std::int64_t order = CompareLoads(left.second, right.second);
        return order != 0
                   ? order < 0
                   : PairHash(left.first, shard) < PairHash(right.first, shard);
      });
  if (choice == loads.end()) {
    return std::nullopt;
  }
  return choice->first;
}

auto CountPreferred(const std::map<EntryId, EntryLoad>& loads,
                    const EntryId& self) -> std::size_t {
  const EntryLoad& own = loads.at(self);
  return static_cast<std::size_t>(std::count_if(
      loads.begin(), loads.end(), [&own](const auto& other) -> bool {
        return CompareLoads(other.second, own) < 0;
      }));
}

}  // namespace fireflythread
