#include "fireflythread/ownership/ownership.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "fireflythread/jobs/job_tables.h"
#include "fireflythread/jobs/lease_times.h"
#include "fireflythread/ownership/ended_ownerships.h"
#include "fireflythread/ownership/placement.h"

namespace fireflythread {
namespace {

using Json = nlohmann::json;

auto ReadPeer(const Json& json) -> std::string {
  const auto peer = json.find("peer");
  return peer != json.end() && peer->is_string() ? peer->get<std::string>()
                                                 : std::string();
}

auto MakeClaim(const OwnershipState& state, const ShardName& shard)
    -> ShardClaim {
  Transaction transaction;
  const auto known = state.shards.find(shard);
  const std::uint64_t version =
      known == state.shards.end() ? 0 : known->second.version;
  transaction.conditions.push_back(
      {std::string(kShardTable), shard.value, version});
  if (known != state.shards.end() && !known->second.owner.empty()) {
    const auto owner = state.entries.find(known->second.owner);
    const bool same_incarnation =
        owner != state.entries.end() &&
        owner->second.incarnation == known->second.incarnation;
    // The claim must fail if the owner renews its row before the commit.
    if (same_incarnation) {
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
  // Deletes the former owner's waiting counts, which would be outdated until
  // the new owner has loaded the shard.
  transaction.writes.push_back({std::string(kWaitingTable),
                                std::string(kWaitingKey), std::nullopt,
                                shard.value});
  Handover handover;
  if (known != state.shards.end()) {
    handover.former_owner_stopped = IsFormerOwnerStopped(state, known->second);
    handover.unresponsive_workers = known->second.unresponsive_workers;
    if (!known->second.owner.empty()) {
      // The version of an owned shard's row is its owner's fencing token.
      handover.former = {known->second.owner, known->second.incarnation,
                         known->second.version};
    }
  }
  return {shard, std::move(transaction), std::move(handover)};
}

auto ReadEntry(const Row& row) -> std::optional<EntryView> {
  const Json json = Json::parse(row.value, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  EntryView entry;
  entry.incarnation = json.value("incarnation", std::uint64_t{0});
  entry.stopping = json.value("stopping", false);
  entry.version = row.version;
  entry.capacity = {json.value("cpu_millicores", 0),
                    json.value("link_mbps", 0)};
  entry.peer = ReadPeer(json);
  entry.ended = DecodeEndedOwnerships(json);
  return entry;
}

/// Sets `changed_at` and `alive_since` of an entry whose row was already known.
auto UpdateEntryTimes(EntryView& entry, const EntryView& known, TimePoint now)
    -> void {
  const bool same_row = known.version == entry.version;
  const bool same_incarnation = known.incarnation == entry.incarnation &&
                                now - known.changed_at < kEntryTimeout;
  entry.changed_at = same_row ? known.changed_at : now;
  entry.alive_since = same_row || same_incarnation ? known.alive_since : now;
}

}  // namespace

auto ApplyEntryRows(OwnershipState& state,
                    const std::vector<Row>& rows,
                    TimePoint now) -> void {
  std::map<EntryId, EntryView> entries;
  for (const Row& row : rows) {
    auto entry = ReadEntry(row);
    if (!entry) {
      continue;
    }
    const EntryId id(row.key);
    const auto known = state.entries.find(id);
    if (known != state.entries.end()) {
      UpdateEntryTimes(*entry, known->second, now);
    } else {
      entry->changed_at = now;
      entry->alive_since = now;
    }
    entries.emplace(id, *entry);
  }
  state.entries = std::move(entries);
  state.entries_read_at = now;
  state.entries_read = true;
}

auto ApplyShardRow(OwnershipState& state, const Row& row, TimePoint now)
    -> void {
  const Json json = Json::parse(row.value, nullptr, false);
  if (!json.is_object()) {
    return;
  }
  ShardOwner& shard = state.shards[ShardName(row.key)];
  if (row.version < shard.version) {
    return;
  }
  if (row.version != shard.version) {
    shard.changed_at = now;
  }
  shard.owner = EntryId(json.value("owner", std::string()));
  shard.incarnation = json.value("incarnation", std::uint64_t{0});
  shard.version = row.version;
  shard.unresponsive_workers = DecodeLeaseTimes(json, "silent_ms");
}

auto MakeRenewal(const OwnershipState& state, TimePoint now) -> Transaction {
  Json row{{"incarnation", state.incarnation},
           {"stopping", state.stopping},
           {"cpu_millicores", state.capacity.cpu_millicores},
           {"link_mbps", state.capacity.link_mbps}};
  if (!state.peer.empty()) {
    row["peer"] = state.peer;
  }
  if (!state.ended.empty()) {
    row["ended"] = EncodeEndedOwnerships(state, now);
  }
  Transaction transaction;
  transaction.writes.push_back(
      {std::string(kEntryTable), state.self.value, row.dump()});
  return transaction;
}

auto ReadsEachRenewal(const OwnershipState& state, TimePoint now) -> bool {
  if (!state.entries_read || !state.shards_read ||
      state.entries.size() <= kFirstClaimants) {
    return true;
  }
  const Placement placement = MakePlacement(state, now);
  const auto own = placement.loads.find(state.self);
  if (!placement.orphans.empty() || own == placement.loads.end() ||
      own->second.shards > 0) {
    return true;
  }
  return CountPreferred(placement.loads, state.self) < kFirstClaimants;
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
  Placement placement = MakePlacement(state, now);
  for (const ShardName& name : placement.orphans) {
    const auto choice = ChooseEntry(placement.loads, name);
    if (!choice) {
      break;
    }
    ++placement.loads[*choice].shards;
    if (*choice == state.self) {
      claims.push_back(MakeClaim(state, name));
    }
  }
  return claims;
}

auto MakeRelease(
    const ShardName& shard,
    std::uint64_t token,
    const std::map<WorkerId, std::chrono::milliseconds>& unresponsive_workers)
    -> Transaction {
  Transaction transaction;
  transaction.conditions.push_back(
      {std::string(kShardTable), shard.value, token});
  transaction.writes.push_back(
      {std::string(kShardTable), shard.value,
       Json{{"owner", ""},
            {"incarnation", 0},
            {"silent_ms", EncodeLeaseTimes(unresponsive_workers)}}
           .dump()});
  return transaction;
}

auto OwnsShard(const OwnershipState& state, const ShardName& shard) -> bool {
  const auto known = state.shards.find(shard);
  return known != state.shards.end() && known->second.owner == state.self &&
         known->second.incarnation == state.incarnation;
}

}  // namespace fireflythread
