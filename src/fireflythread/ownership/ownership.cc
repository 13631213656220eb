#include "fireflythread/ownership/ownership.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <tuple>
#include <utility>

namespace fireflythread {
namespace {

using Json = nlohmann::json;

auto IsAlive(const EntryView& entry, TimePoint now) -> bool {
  return !entry.stopping && now - entry.changed_at < kEntryTimeout;
}

/// Whether the process that owned the shard has ended: its entry's row, written
/// after the shard's, is of another process. An older row says nothing.
auto IsFormerStopped(const OwnershipState& state, const ShardOwner& shard)
    -> bool {
  if (shard.owner.empty()) {
    return true;
  }
  const auto owner = state.entries.find(shard.owner);
  return owner != state.entries.end() &&
         owner->second.incarnation != shard.incarnation &&
         owner->second.version > shard.version;
}

/// Whether nobody acts for the shard any more.
auto IsOrphan(const OwnershipState& state,
              const ShardOwner& shard,
              TimePoint now) -> bool {
  if (IsFormerStopped(state, shard)) {
    return true;
  }
  const auto owner = state.entries.find(shard.owner);
  return owner != state.entries.end() &&
         owner->second.incarnation == shard.incarnation &&
         now - owner->second.changed_at >= kEntryTimeout;
}

auto ReadSilentWorkers(const Json& json)
    -> std::map<WorkerId, std::chrono::milliseconds> {
  std::map<WorkerId, std::chrono::milliseconds> workers;
  const auto silent = json.find("silent_ms");
  if (silent == json.end() || !silent->is_object()) {
    return workers;
  }
  for (const auto& [worker, left] : silent->items()) {
    if (left.is_number_integer()) {
      workers[WorkerId(worker)] =
          std::chrono::milliseconds(left.get<std::int64_t>());
    }
  }
  return workers;
}

auto ReadPeer(const Json& json) -> std::string {
  const auto peer = json.find("peer");
  return peer != json.end() && peer->is_string() ? peer->get<std::string>()
                                                 : std::string();
}

auto HashOf(const EntryId& entry, const ServiceName& shard) -> std::size_t {
  return std::hash<std::string>{}(entry.value + "/" + shard.value);
}

auto MakeClaim(const OwnershipState& state, const ServiceName& shard)
    -> ShardClaim {
  Transaction transaction;
  const auto known = state.shards.find(shard);
  const std::uint64_t version =
      known == state.shards.end() ? 0 : known->second.version;
  transaction.conditions.push_back(
      {std::string(kShardTable), shard.value, version});
  if (known != state.shards.end() && !known->second.owner.empty()) {
    const auto owner = state.entries.find(known->second.owner);
    const bool same_life =
        owner != state.entries.end() &&
        owner->second.incarnation == known->second.incarnation;
    // The claim fails if the owner has renewed its row after all.
    if (same_life) {
      transaction.conditions.push_back({std::string(kEntryTable),
                                        known->second.owner.value,
                                        owner->second.version});
    }
  }
  const std::string value = Json{
      {"owner", state.self.value},
      {"incarnation",
       state.incarnation}}.dump();
  transaction.writes.push_back({std::string(kShardTable), shard.value, value});
  transaction.writes.push_back(
      {std::string(kFenceTable), std::string(kFenceKey), value, shard.value});
  Handover handover;
  if (known != state.shards.end()) {
    handover.former_stopped = IsFormerStopped(state, known->second);
    handover.silent_workers = known->second.silent_workers;
  }
  return {shard, std::move(transaction), std::move(handover)};
}

}  // namespace

auto TakeEntryRows(OwnershipState& state,
                   const std::vector<Row>& rows,
                   TimePoint now) -> void {
  std::map<EntryId, EntryView> entries;
  for (const Row& row : rows) {
    const Json json = Json::parse(row.value, nullptr, false);
    if (!json.is_object()) {
      continue;
    }
    EntryView entry;
    entry.incarnation = json.value("incarnation", std::uint64_t{0});
    entry.stopping = json.value("stopping", false);
    entry.peer = ReadPeer(json);
    entry.version = row.version;
    entry.changed_at = now;
    const EntryId id(row.key);
    const auto known = state.entries.find(id);
    if (known != state.entries.end() &&
        known->second.version == entry.version) {
      entry.changed_at = known->second.changed_at;
    }
    entries.emplace(id, entry);
  }
  state.entries = std::move(entries);
  state.entries_read_at = now;
  state.entries_read = true;
}

auto TakeShardRow(OwnershipState& state, const Row& row) -> void {
  const Json json = Json::parse(row.value, nullptr, false);
  if (!json.is_object()) {
    return;
  }
  ShardOwner& shard = state.shards[ServiceName(row.key)];
  if (row.version < shard.version) {
    return;
  }
  shard.owner = EntryId(json.value("owner", std::string()));
  shard.incarnation = json.value("incarnation", std::uint64_t{0});
  shard.version = row.version;
  shard.silent_workers = ReadSilentWorkers(json);
}

auto MakeRenewal(const OwnershipState& state) -> Transaction {
  Json row{{"incarnation", state.incarnation}, {"stopping", state.stopping}};
  if (!state.peer.empty()) {
    row["peer"] = state.peer;
  }
  Transaction transaction;
  transaction.writes.push_back(
      {std::string(kEntryTable), state.self.value, row.dump()});
  return transaction;
}

auto NextClaims(const OwnershipState& state, TimePoint now)
    -> std::vector<ShardClaim> {
  std::vector<ShardClaim> claims;
  const auto self = state.entries.find(state.self);
  if (!state.entries_read || !state.shards_read || state.stopping ||
      self == state.entries.end() ||
      self->second.incarnation != state.incarnation) {
    return claims;
  }
  std::map<EntryId, int> owned;
  for (const auto& [id, entry] : state.entries) {
    if (IsAlive(entry, now)) {
      owned.emplace(id, 0);
    }
  }
  std::vector<ServiceName> orphans;
  for (const ServiceName& name : state.wanted) {
    const auto shard = state.shards.find(name);
    if (shard == state.shards.end() || IsOrphan(state, shard->second, now)) {
      orphans.push_back(name);
      continue;
    }
    const auto owner = owned.find(shard->second.owner);
    if (owner != owned.end()) {
      ++owner->second;
    }
  }
  for (const ServiceName& name : orphans) {
    // Every entry comes to the same choice from the same rows: the one with
    // the fewest shards.
    const auto choice = std::min_element(
        owned.begin(), owned.end(),
        [&name](const auto& left, const auto& right) -> bool {
          return std::make_tuple(left.second, HashOf(left.first, name)) <
                 std::make_tuple(right.second, HashOf(right.first, name));
        });
    if (choice == owned.end()) {
      break;
    }
    ++choice->second;
    if (choice->first == state.self) {
      claims.push_back(MakeClaim(state, name));
    }
  }
  return claims;
}

auto MakeRelease(
    const ServiceName& shard,
    std::uint64_t token,
    const std::map<WorkerId, std::chrono::milliseconds>& silent_workers)
    -> Transaction {
  Json silent = Json::object();
  for (const auto& [worker, left] : silent_workers) {
    silent[worker.value] = left.count();
  }
  Transaction transaction;
  transaction.conditions.push_back(
      {std::string(kShardTable), shard.value, token});
  transaction.writes.push_back(
      {std::string(kShardTable), shard.value,
       Json{{"owner", ""}, {"incarnation", 0}, {"silent_ms", silent}}.dump()});
  return transaction;
}

auto OwnsShard(const OwnershipState& state, const ServiceName& shard) -> bool {
  const auto known = state.shards.find(shard);
  return known != state.shards.end() && known->second.owner == state.self &&
         known->second.incarnation == state.incarnation;
}

}  // namespace fireflythread
