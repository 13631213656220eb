#include "fireflythread/control/wave_codec.h"

#include <array>
#include <cstddef>
#include <nlohmann/json.hpp>

#include "fireflythread/fleet/row_reader.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {
namespace {

constexpr std::array<std::string_view, 4> kStateNames = {
    "declared", "running", "finished", "cancelled"};
constexpr std::array<std::string_view, 5> kKindNames = {"all", "zone", "rack",
                                                        "pool", "vms"};

/// Returns the index of a name in a list of names; no value when it is absent.
template <std::size_t kSize>
auto FindName(const std::array<std::string_view, kSize>& names,
              std::string_view name) -> std::optional<std::size_t> {
  for (std::size_t i = 0; i < kSize; ++i) {
    if (names.at(i) == name) {
      return i;
    }
  }
  return std::nullopt;
}

auto ToTexts(const std::vector<VmId>& vms) -> std::vector<std::string> {
  std::vector<std::string> texts;
  texts.reserve(vms.size());
  for (const VmId& vm : vms) {
    texts.push_back(vm.value);
  }
  return texts;
}

auto ToIds(std::vector<std::string> texts) -> std::vector<VmId> {
  std::vector<VmId> vms;
  vms.reserve(texts.size());
  for (std::string& text : texts) {
    vms.emplace_back(std::move(text));
  }
  return vms;
}

auto SplitIds(std::string_view text) -> std::vector<VmId> {
  std::vector<VmId> vms;
  while (!text.empty()) {
    const std::size_t comma = text.find(',');
    const std::string_view id = text.substr(0, comma);
    if (!id.empty()) {
      vms.emplace_back(std::string(id));
    }
    text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
  }
  return vms;
}

auto ReadSelector(internal::RowReader& reader) -> WaveSelector {
  const std::string text = reader.Text("selector");
  std::optional<WaveSelector> selector = ParseWaveSelector(text);
  if (!selector.has_value()) {
    reader.Fail("unknown selector \"" + text + "\"");
    return {};
  }
  return *std::move(selector);
}

}  // namespace

auto WaveStateName(WaveState state) -> std::string_view {
  return kStateNames.at(static_cast<std::size_t>(state));
}

auto WaveSelectorKindName(WaveSelectorKind kind) -> std::string_view {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

auto ParseWaveSelector(std::string_view text) -> std::optional<WaveSelector> {
  const std::size_t equals = text.find('=');
  const auto kind = FindName(kKindNames, text.substr(0, equals));
  if (!kind.has_value()) {
    return std::nullopt;
  }
  WaveSelector selector;
  selector.kind = static_cast<WaveSelectorKind>(*kind);
  const bool has_name =
      equals != std::string_view::npos && equals + 1 < text.size();
  if (has_name != (selector.kind != WaveSelectorKind::kAll)) {
    return std::nullopt;
  }
  if (selector.kind == WaveSelectorKind::kVms) {
    selector.vms = SplitIds(text.substr(equals + 1));
    return selector.vms.empty() ? std::nullopt : std::optional(selector);
  }
  if (has_name) {
    selector.name = text.substr(equals + 1);
  }
  return selector;
}

auto FormatWaveSelector(const WaveSelector& selector) -> std::string {
  std::string text(WaveSelectorKindName(selector.kind));
  if (selector.kind == WaveSelectorKind::kAll) {
    return text;
  }
  text += '=';
  if (selector.kind != WaveSelectorKind::kVms) {
    return text + selector.name;
  }
  for (std::size_t i = 0; i < selector.vms.size(); ++i) {
    text += (i == 0 ? "" : ",") + selector.vms[i].value;
  }
  return text;
}

auto EncodeWaveRecord(const WaveRecord& record) -> std::string {
  const nlohmann::json object = {
      {"selector", FormatWaveSelector(record.selector)},
      {"state", WaveStateName(record.state)},
      {"declared_by", record.declared_by},
      {"declared_at_ms", record.declared_at_ms},
      {"remaining", ToTexts(record.remaining)},
      {"done", ToTexts(record.done)},
      {"failed", ToTexts(record.failed)}};
  return object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto DecodeWaveRecord(const Row& row) -> std::variant<WaveRecord, RowError> {
  internal::RowReader reader(row);
  WaveRecord record;
  record.id = WaveId(row.key);
  record.version = row.version;
  record.selector = ReadSelector(reader);
  const std::string state_name = reader.Text("state");
  const auto state = FindName(kStateNames, state_name);
  if (!state.has_value()) {
    reader.Fail("unknown state \"" + state_name + "\"");
  }
  record.state = static_cast<WaveState>(state.value_or(0));
  record.declared_by = reader.OptionalText("declared_by");
  record.declared_at_ms = reader.OptionalNumber<std::int64_t>("declared_at_ms");
  record.remaining = ToIds(reader.OptionalTexts("remaining"));
  record.done = ToIds(reader.OptionalTexts("done"));
  record.failed = ToIds(reader.OptionalTexts("failed"));
  if (record.id.empty()) {
    reader.Fail("the key is empty");
  }
  if (reader.Error().has_value()) {
    return *reader.Error();
  }
  return record;
}

}  // namespace fireflythread
