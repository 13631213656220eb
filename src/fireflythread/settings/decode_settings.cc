#include "fireflythread/settings/decode_settings.h"

#include <algorithm>
#include <string>
#include <utility>

#include "fireflythread/settings/check_settings.h"
#include "fireflythread/settings/setting_keys.h"
#include "fireflythread/settings/setting_value.h"

namespace fireflythread {
namespace {

constexpr std::string_view kPeersSection = "peers";

auto IsKnownSection(std::string_view section) -> bool {
  return std::ranges::any_of(SettingKeys(), [&](const SettingKey& key) -> bool {
    return key.section == section;
  });
}

auto FindKey(const RawSetting& line) -> const SettingKey* {
  const auto keys = SettingKeys();
  const auto found =
      std::ranges::find_if(keys, [&](const SettingKey& key) -> bool {
        return key.section == line.section && key.key == line.key;
      });
  return found == keys.end() ? nullptr : &*found;
}

auto AllowedKeys(std::string_view section) -> std::string {
  std::string names;
  for (const SettingKey& key : SettingKeys()) {
    if (key.section == section) {
      names += names.empty() ? "" : ", ";
      names += key.key;
    }
  }
  return names;
}

auto AllowedSections() -> std::string {
  std::string names;
  std::string_view last;
  for (const SettingKey& key : SettingKeys()) {
    if (key.section != last) {
      names += names.empty() ? "" : ", ";
      names += key.section;
      last = key.section;
    }
  }
  return names;
}

auto MakeFault(const RawSetting& line, std::string problem, std::string allowed)
    -> SettingsFault {
  return SettingsFault{{},         line.section,       line.key,
                       line.value, std::move(problem), std::move(allowed)};
}

// Gives the fault of one line, with an empty problem when there is none.
auto DecodeLine(const RawSetting& line, DaemonSettings& settings)
    -> SettingsFault {
  if (!IsKnownSection(line.section)) {
    return MakeFault(line, "the section is unknown", AllowedSections());
  }
  if (line.key.empty()) {
    return {};
  }
  if (const SettingKey* key = FindKey(line)) {
    const bool applied = ApplySetting(*key, line.value, settings);
    return applied ? SettingsFault{}
                   : MakeFault(line, "the value is not allowed",
                               DescribeRange(*key));
  }
  if (line.section != kPeersSection || !IsName(line.key)) {
    return MakeFault(line, "the key is unknown", AllowedKeys(line.section));
  }
  const auto endpoint = ParseEndpoint(line.value);
  if (!endpoint) {
    return MakeFault(line, "the member's address is not valid", "IP:port");
  }
  settings.peers.members[EntryId(line.key)] = *endpoint;
  return {};
}

auto IsGiven(const SettingKey& key, std::span<const RawSetting> lines) -> bool {
  return std::ranges::any_of(lines, [&](const RawSetting& line) -> bool {
    return line.section == key.section && line.key == key.key;
  });
}

auto AddMissing(std::span<const RawSetting> lines,
                std::vector<SettingsFault>& faults) -> void {
  for (const SettingKey& key : SettingKeys()) {
    if (key.required && !IsGiven(key, lines)) {
      const RawSetting line{std::string(key.section), std::string(key.key), ""};
      faults.push_back(
          MakeFault(line, "the key is missing", DescribeRange(key)));
    }
  }
}

}  // namespace

auto DecodeSettings(std::string_view file, std::span<const RawSetting> lines)
    -> SettingsResult {
  DaemonSettings settings;
  std::vector<SettingsFault> faults;
  for (const RawSetting& line : lines) {
    SettingsFault fault = DecodeLine(line, settings);
    if (!fault.problem.empty()) {
      faults.push_back(std::move(fault));
    }
  }
  AddMissing(lines, faults);
  // Faults between keys are reported beside faults of single lines, as far as
  // the keys concerned could be read.
  for (SettingsFault& fault : CheckSettings(settings)) {
    faults.push_back(std::move(fault));
  }
  for (SettingsFault& fault : faults) {
    fault.file = file;
  }
  if (!faults.empty()) {
    return faults;
  }
  return settings;
}

}  // namespace fireflythread
