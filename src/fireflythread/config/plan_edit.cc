#include "fireflythread/config/plan_edit.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "fireflythread/config/codec.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/config/tables.h"
#include "fireflythread/config/validate.h"

namespace fireflythread {

namespace {

/// One object as it stands before the edit.
struct Existing {
  std::uint64_t version = 0;
  std::optional<std::string> value;
};

template <typename Key, typename T, typename Encode>
auto FindIn(const std::map<Key, T>& objects,
            const std::string& name,
            Encode encode) -> Existing {
  const auto found = objects.find(Key(name));
  if (found == objects.end()) {
    return {};
  }
  return {found->second.version, encode(found->second)};
}

auto FindExisting(const ConfigSnapshot& snapshot, const ConfigEdit& edit)
    -> Existing {
  switch (edit.kind) {
    case ConfigKind::kProfile:
      return FindIn(snapshot.profiles, edit.name, EncodeProfile);
    case ConfigKind::kService:
      return FindIn(snapshot.services, edit.name, EncodeService);
    case ConfigKind::kPool:
      return FindIn(snapshot.pools, edit.name, EncodePool);
    case ConfigKind::kTeam:
      return FindIn(snapshot.teams, edit.name, EncodeTeam);
  }
  return {};
}

/// Stores the decoded object and returns its row value in canonical form, or
/// the faults.
template <typename Key, typename T, typename Encode>
auto Replace(std::map<Key, T>& objects, Decoded<T> decoded, Encode encode)
    -> Decoded<std::string> {
  if (auto* faults = std::get_if<std::vector<ConfigFault>>(&decoded)) {
    return std::move(*faults);
  }
  T& value = std::get<T>(decoded);
  std::string text = encode(value);
  const Key name = value.name;
  objects[name] = std::move(value);
  return text;
}

auto ApplyValue(ConfigSnapshot& next, const ConfigEdit& edit)
    -> Decoded<std::string> {
  constexpr auto kReject = UnknownFields::kReject;
  const std::string& json = *edit.value;
  switch (edit.kind) {
    case ConfigKind::kProfile:
      return Replace(next.profiles, DecodeProfile(edit.name, 0, json, kReject),
                     EncodeProfile);
    case ConfigKind::kService:
      return Replace(next.services, DecodeService(edit.name, 0, json, kReject),
                     EncodeService);
    case ConfigKind::kPool:
      return Replace(next.pools, DecodePool(edit.name, 0, json, kReject),
                     EncodePool);
    case ConfigKind::kTeam:
      return Replace(next.teams, DecodeTeam(edit.name, 0, json, kReject),
                     EncodeTeam);
  }
  return std::string();
}

/// The faults that `next` has and `snapshot` had not.
auto AddedFaults(const ConfigSnapshot& snapshot, const ConfigSnapshot& next)
    -> std::vector<ConfigFault> {
  const std::vector<ConfigFault> before = ValidateSnapshot(snapshot);
  const std::vector<ConfigFault> after = ValidateSnapshot(next);
  std::vector<ConfigFault> added;
  std::set_difference(after.begin(), after.end(), before.begin(), before.end(),
                      std::back_inserter(added));
  return added;
}

auto HistoryValue(const ConfigEdit& edit,
                  const Existing& existing,
                  const std::optional<std::string>& new_value) -> std::string {
  const auto optional_text = [](const std::optional<std::string>& text) {
    return text ? nlohmann::json::parse(*text) : nlohmann::json(nullptr);
  };
  const auto at_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
      edit.at.time_since_epoch());
  // The operator's name comes from outside and may not be valid UTF-8.
  return nlohmann::json{{"nonce", edit.nonce},
                        {"who", edit.who},
                        {"at_ms", at_ms.count()},
                        {"object", ConfigKey(edit.kind, edit.name)},
                        {"from_version", edit.from_version},
                        {"old", optional_text(existing.value)},
                        {"new", optional_text(new_value)}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto BuildPlan(const ConfigSnapshot& snapshot,
               const ConfigEdit& edit,
               const Existing& existing,
               const std::optional<std::string>& new_value) -> PlannedEdit {
  PlannedEdit plan;
  plan.version = snapshot.version + 1;
  plan.key = ConfigKey(edit.kind, edit.name);
  plan.from_version = edit.from_version;
  Transaction& transaction = plan.transaction;
  transaction.nonce = edit.nonce;
  const std::string history_key = HistoryKey(plan.version);
  transaction.conditions = {
      {kConfigTable, kConfigHeadKey, snapshot.head_row_version},
      {kConfigTable, plan.key, edit.from_version},
      {kHistoryTable, history_key, 0}};
  transaction.writes = {
      {kConfigTable, kConfigHeadKey, EncodeHead(plan.version)},
      {kConfigTable, plan.key, new_value},
      {kHistoryTable, history_key, HistoryValue(edit, existing, new_value)}};
  return plan;
}

auto PlanDeletion(const ConfigSnapshot& snapshot,
                  const ConfigEdit& edit,
                  const Existing& existing) -> EditPlan {
  const std::string key = ConfigKey(edit.kind, edit.name);
  if (existing.version == 0) {
    return EditInvalid{{{key, "", "does not exist", ""}}};
  }
  std::vector<std::string> users = UsersOf(snapshot, edit.kind, edit.name);
  if (!users.empty()) {
    return EditInUse{std::move(users)};
  }
  return BuildPlan(snapshot, edit, existing, std::nullopt);
}

}  // namespace

auto PlanEdit(const ConfigSnapshot& snapshot, const ConfigEdit& edit)
    -> EditPlan {
  const Existing existing = FindExisting(snapshot, edit);
  if (existing.version != edit.from_version) {
    return EditConflict{edit.from_version, existing.version};
  }
  if (!edit.value) {
    return PlanDeletion(snapshot, edit, existing);
  }
  ConfigSnapshot next = snapshot;
  Decoded<std::string> value = ApplyValue(next, edit);
  if (auto* faults = std::get_if<std::vector<ConfigFault>>(&value)) {
    return EditInvalid{std::move(*faults)};
  }
  std::vector<ConfigFault> added = AddedFaults(snapshot, next);
  if (!added.empty()) {
    return EditInvalid{std::move(added)};
  }
  return BuildPlan(snapshot, edit, existing, std::get<std::string>(value));
}

auto HistoryKey(std::uint64_t version) -> std::string {
  return fmt::format("{:020}", version);
}

}  // namespace fireflythread
