#include "fireflythread/ownership/ended_ownerships.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace fireflythread {
namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

/// An ended ownership stays in the entry's row for this long, which is longer
/// than any lease.
constexpr milliseconds kEndedOwnershipRetention{12000};

/// Returns the times of an ended ownership, counted from `now`.
auto TimesFrom(const EndedOwnership& ended, TimePoint now) -> LeaseTimes {
  const auto elapsed =
      std::chrono::duration_cast<milliseconds>(now - ended.ended_at);
  LeaseTimes times = ended.unresponsive_workers;
  for (auto& [worker, left] : times) {
    left = std::max(left - elapsed, milliseconds(0));
  }
  return times;
}

}  // namespace

auto RemoveOldEndedOwnerships(OwnershipState& state, TimePoint now) -> void {
  std::erase_if(state.ended, [now](const auto& entry) -> bool {
    return now - entry.second.ended_at >= kEndedOwnershipRetention;
  });
}

auto EncodeEndedOwnerships(const OwnershipState& state, TimePoint now) -> Json {
  Json shards = Json::object();
  for (const auto& [shard, ended] : state.ended) {
    shards[shard.value] = {
        {"fence", ended.fence},
        {"left_ms", EncodeLeaseTimes(TimesFrom(ended, now))}};
  }
  return shards;
}

auto DecodeEndedOwnerships(const Json& row)
    -> std::map<ShardName, EndedOwnership> {
  std::map<ShardName, EndedOwnership> shards;
  const auto found = row.find("ended");
  if (found == row.end() || !found->is_object()) {
    return shards;
  }
  for (const auto& [shard, ended] : found->items()) {
    if (!ended.is_object() || !ended.contains("fence") ||
        !ended["fence"].is_number_unsigned()) {
      continue;
    }
    shards[ShardName(shard)] = {ended["fence"].get<std::uint64_t>(),
                                {},
                                DecodeLeaseTimes(ended, "left_ms")};
  }
  return shards;
}

auto FindEndedOwnership(const OwnershipState& state,
                        const ShardName& shard,
                        const FormerOwner& former)
    -> std::optional<LeaseTimes> {
  const auto entry = state.entries.find(former.entry);
  if (former.entry.empty() || entry == state.entries.end()) {
    return std::nullopt;
  }
  const EntryView& view = entry->second;
  if (view.incarnation != former.incarnation) {
    // A row older than the former owner's claim proves nothing.
    return view.version > former.fence ? std::optional<LeaseTimes>(LeaseTimes())
                                       : std::nullopt;
  }
  const auto ended = view.ended.find(shard);
  if (ended == view.ended.end() || ended->second.fence != former.fence) {
    return std::nullopt;
  }
  return ended->second.unresponsive_workers;
}

}  // namespace fireflythread
