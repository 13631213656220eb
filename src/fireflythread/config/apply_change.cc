#include "fireflythread/config/apply_change.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "fireflythread/config/codec.h"
#include "fireflythread/config/config_kind.h"
#include "fireflythread/config/tables.h"

namespace fireflythread {

namespace {

struct ObjectKey {
  ConfigKind kind = ConfigKind::kProfile;
  std::string name;
};

auto ParseKey(const std::string& key) -> std::optional<ObjectKey> {
  const std::size_t slash = key.find('/');
  if (slash == std::string::npos) {
    return std::nullopt;
  }
  const auto kind = ParseConfigKind(std::string_view(key).substr(0, slash));
  if (!kind) {
    return std::nullopt;
  }
  return ObjectKey{*kind, key.substr(slash + 1)};
}

/// Puts a decoded object into its map unless the map has a later row of it.
template <typename Key, typename T>
auto Store(std::map<Key, T>& objects,
           Decoded<T> decoded,
           std::vector<ConfigFault>& faults) -> void {
  if (auto* problems = std::get_if<std::vector<ConfigFault>>(&decoded)) {
    faults.insert(faults.end(), problems->begin(), problems->end());
    return;
  }
  T& value = std::get<T>(decoded);
  T& slot = objects[value.name];
  if (value.version >= slot.version) {
    slot = std::move(value);
  }
}

auto StoreRow(ConfigSnapshot& snapshot,
              const Row& row,
              std::vector<ConfigFault>& faults) -> void {
  const auto key = ParseKey(row.key);
  if (!key || row.table != kConfigTable || row.version == 0) {
    faults.push_back({row.key, "", "is not a configuration row", ""});
    return;
  }
  constexpr auto kIgnore = UnknownFields::kIgnore;
  switch (key->kind) {
    case ConfigKind::kProfile:
      Store(snapshot.profiles,
            DecodeProfile(key->name, row.version, row.value, kIgnore), faults);
      break;
    case ConfigKind::kService:
      Store(snapshot.services,
            DecodeService(key->name, row.version, row.value, kIgnore), faults);
      break;
    case ConfigKind::kPool:
      Store(snapshot.pools,
            DecodePool(key->name, row.version, row.value, kIgnore), faults);
      break;
    case ConfigKind::kTeam:
      Store(snapshot.teams,
            DecodeTeam(key->name, row.version, row.value, kIgnore), faults);
      break;
  }
}

auto EraseObject(ConfigSnapshot& snapshot, const ObjectKey& key) -> void {
  switch (key.kind) {
    case ConfigKind::kProfile:
      snapshot.profiles.erase(ProfileName(key.name));
      break;
    case ConfigKind::kService:
      snapshot.services.erase(ServiceName(key.name));
      break;
    case ConfigKind::kPool:
      snapshot.pools.erase(PoolName(key.name));
      break;
    case ConfigKind::kTeam:
      snapshot.teams.erase(TeamName(key.name));
      break;
  }
}

/// Drops the objects that a whole table does not list.
template <typename Key, typename T>
auto KeepListed(std::map<Key, T>& objects,
                ConfigKind kind,
                const std::map<std::string, const Row*>& listed) -> void {
  std::erase_if(objects, [&](const auto& item) {
    return !listed.contains(ConfigKey(kind, item.first.value));
  });
}

auto DropUnlisted(ConfigSnapshot& snapshot, const std::vector<Row>& rows)
    -> void {
  std::map<std::string, const Row*> listed;
  for (const Row& row : rows) {
    listed.emplace(row.key, &row);
  }
  KeepListed(snapshot.profiles, ConfigKind::kProfile, listed);
  KeepListed(snapshot.services, ConfigKind::kService, listed);
  KeepListed(snapshot.pools, ConfigKind::kPool, listed);
  KeepListed(snapshot.teams, ConfigKind::kTeam, listed);
}

auto IsHead(const Row& row) -> bool {
  return row.table == kConfigTable && row.key == kConfigHeadKey;
}

auto FindHead(const std::vector<Row>& rows) -> const Row* {
  for (const Row& row : rows) {
    if (IsHead(row)) {
      return &row;
    }
  }
  return nullptr;
}

auto BuildNext(const ConfigSnapshot& base,
               const ConfigChange& change,
               std::uint64_t version,
               std::uint64_t head_row_version) -> ChangeApplied {
  ChangeApplied result{.snapshot = base, .faults = {}};
  result.snapshot.version = version;
  result.snapshot.head_row_version = head_row_version;
  for (const std::string& key : change.deleted) {
    if (const auto parsed = ParseKey(key)) {
      EraseObject(result.snapshot, *parsed);
    }
  }
  for (const Row& row : change.rows) {
    if (!IsHead(row)) {
      StoreRow(result.snapshot, row, result.faults);
    }
  }
  if (change.whole) {
    DropUnlisted(result.snapshot, change.rows);
  }
  return result;
}

template <typename Key, typename T, typename Encode>
auto AddRows(const std::map<Key, T>& objects,
             ConfigKind kind,
             Encode encode,
             std::vector<Row>& rows) -> void {
  for (const auto& [name, object] : objects) {
    rows.push_back({.table = kConfigTable,
                    .key = ConfigKey(kind, name.value),
                    .version = object.version,
                    .value = encode(object)});
  }
}

}  // namespace

auto ApplyChange(const ConfigSnapshot& base, const ConfigChange& change)
    -> ChangeResult {
  // The table of a cell that was never configured holds no row.
  if (change.whole && change.rows.empty() && base.version == 0) {
    return ChangeApplied{.snapshot = base, .faults = {}};
  }
  const Row* head = FindHead(change.rows);
  const auto version = head != nullptr ? DecodeHead(head->value) : std::nullopt;
  if (!version || head->version == 0) {
    return ChangeMalformed{
        {{kConfigHeadKey, "", "is missing or malformed", ""}}};
  }
  if (*version < base.version || head->version < base.head_row_version) {
    return ChangeStale{*version};
  }
  // A settling write moves the head row without a new version number.
  if (*version == base.version) {
    ChangeApplied same{.snapshot = base, .faults = {}};
    same.snapshot.head_row_version = head->version;
    return same;
  }
  if (change.from_version && *change.from_version != base.version) {
    return ChangeGap{*change.from_version};
  }
  return BuildNext(base, change, *version, head->version);
}

auto SnapshotRows(const ConfigSnapshot& snapshot) -> std::vector<Row> {
  std::vector<Row> rows;
  rows.push_back({.table = kConfigTable,
                  .key = kConfigHeadKey,
                  .version = snapshot.head_row_version,
                  .value = EncodeHead(snapshot.version)});
  AddRows(snapshot.profiles, ConfigKind::kProfile, EncodeProfile, rows);
  AddRows(snapshot.services, ConfigKind::kService, EncodeService, rows);
  AddRows(snapshot.pools, ConfigKind::kPool, EncodePool, rows);
  AddRows(snapshot.teams, ConfigKind::kTeam, EncodeTeam, rows);
  return rows;
}

auto ChangeBetween(const ConfigSnapshot& from, const ConfigSnapshot& to)
    -> ConfigChange {
  ConfigChange change;
  change.from_version = from.version;
  std::map<std::string, std::uint64_t> before;
  for (const Row& row : SnapshotRows(from)) {
    before.emplace(row.key, row.version);
  }
  for (Row& row : SnapshotRows(to)) {
    const auto known = before.find(row.key);
    const bool changed = known == before.end() || known->second != row.version;
    if (known != before.end()) {
      before.erase(known);
    }
    if (changed || row.key == kConfigHeadKey) {
      change.rows.push_back(std::move(row));
    }
  }
  for (const auto& [key, version] : before) {
    change.deleted.push_back(key);
  }
  return change;
}

}  // namespace fireflythread
