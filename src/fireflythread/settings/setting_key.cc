#include "fireflythread/settings/setting_key.h"

#include <fmt/format.h>

#include <utility>

#include "fireflythread/settings/setting_value.h"

namespace fireflythread {
namespace {

template <typename Parsed, typename Field>
auto Store(const std::optional<Parsed>& parsed, Field& field) -> bool {
  if (parsed) {
    field = static_cast<Field>(*parsed);
  }
  return parsed.has_value();
}

template <typename Parsed, typename Range>
auto StoreInRange(const std::optional<Parsed>& parsed,
                  const Range& range,
                  DaemonSettings& settings) -> bool {
  return parsed && *parsed >= range.min && *parsed <= range.max &&
         Store(parsed, range.field(settings));
}

auto OrNone(const std::string& text) -> std::string {
  return text.empty() ? "none" : text;
}

auto Apply(const SettingKey::DurationRange& range,
           std::string_view text,
           DaemonSettings& settings) -> bool {
  return StoreInRange(ParseDuration(text), range, settings);
}

auto Apply(const SettingKey::SizeRange& range,
           std::string_view text,
           DaemonSettings& settings) -> bool {
  return StoreInRange(ParseSize(text), range, settings);
}

auto Apply(const SettingKey::CountRange& range,
           std::string_view text,
           DaemonSettings& settings) -> bool {
  return StoreInRange(ParseCount(text), range, settings);
}

auto Apply(const SettingKey::RatioRange& range,
           std::string_view text,
           DaemonSettings& settings) -> bool {
  return Store(ParseRatio(text), range.field(settings));
}

auto Apply(const SettingKey::Flag& flag,
           std::string_view text,
           DaemonSettings& settings) -> bool {
  return Store(ParseFlag(text), flag.field(settings));
}

auto Apply(const SettingKey::Path& path,
           std::string_view text,
           DaemonSettings& settings) -> bool {
  path.field(settings) = text;
  return !text.empty();
}

auto Apply(const SettingKey::Name& name,
           std::string_view text,
           DaemonSettings& settings) -> bool {
  name.field(settings) = text;
  return IsName(text);
}

auto Apply(const SettingKey::ZoneList& zones,
           std::string_view text,
           DaemonSettings& settings) -> bool {
  std::set<ZoneName> names;
  while (true) {
    const std::size_t comma = text.find(',');
    std::string_view name = text.substr(0, comma);
    const std::size_t begin = name.find_first_not_of(' ');
    const std::size_t end = name.find_last_not_of(' ');
    name = begin == std::string_view::npos
               ? std::string_view()
               : name.substr(begin, end - begin + 1);
    if (!IsName(name) || !names.insert(ZoneName(std::string(name))).second) {
      return false;
    }
    if (comma == std::string_view::npos) {
      break;
    }
    text.remove_prefix(comma + 1);
  }
  zones.field(settings) = std::move(names);
  return true;
}

auto Apply(const SettingKey::Address& address,
           std::string_view text,
           DaemonSettings& settings) -> bool {
  return Store(ParseEndpoint(text), address.field(settings));
}

auto Apply(const SettingKey::Level& level,
           std::string_view text,
           DaemonSettings& settings) -> bool {
  return Store(ParseLogLevel(text), level.field(settings));
}

auto Range(const SettingKey::DurationRange& range) -> std::string {
  return fmt::format("{} to {}", FormatDuration(range.min),
                     FormatDuration(range.max));
}

auto Range(const SettingKey::SizeRange& range) -> std::string {
  return fmt::format("{} to {}", FormatSize(range.min), FormatSize(range.max));
}

auto Range(const SettingKey::CountRange& range) -> std::string {
  return fmt::format("{} to {}", range.min, range.max);
}

auto Range(const SettingKey::RatioRange& /*range*/) -> std::string {
  return "0 to 1";
}

auto Range(const SettingKey::Flag& /*flag*/) -> std::string {
  return "true or false";
}

auto Range(const SettingKey::Path& /*path*/) -> std::string {
  return "a file path";
}

auto Range(const SettingKey::Name& /*name*/) -> std::string {
  return "1 to 63 of a-z, 0-9, -";
}

auto Range(const SettingKey::ZoneList& /*zones*/) -> std::string {
  return "different names, separated by commas";
}

auto Range(const SettingKey::Address& /*address*/) -> std::string {
  return "IP:port";
}

auto Range(const SettingKey::Level& /*level*/) -> std::string {
  return "debug, info, warning or error";
}

auto Format(Duration value) -> std::string {
  return FormatDuration(value);
}

auto Format(std::int64_t value) -> std::string {
  return FormatSize(value);
}

auto Format(int value) -> std::string {
  return std::to_string(value);
}

auto Format(double value) -> std::string {
  return fmt::format("{}", value);
}

auto Format(bool value) -> std::string {
  return value ? "true" : "false";
}

auto Format(const std::string& value) -> std::string {
  return OrNone(value);
}

auto Format(const std::set<ZoneName>& value) -> std::string {
  std::string text;
  for (const ZoneName& zone : value) {
    text += text.empty() ? "" : ", ";
    text += zone.value;
  }
  return OrNone(text);
}

auto Format(const Endpoint& value) -> std::string {
  return OrNone(FormatEndpoint(value));
}

auto Format(LogLevel value) -> std::string {
  return std::string(FormatLogLevel(value));
}

}  // namespace

auto ApplySetting(const SettingKey& key,
                  std::string_view text,
                  DaemonSettings& settings) -> bool {
  return std::visit(
      [&](const auto& target) -> bool { return Apply(target, text, settings); },
      key.target);
}

auto DescribeRange(const SettingKey& key) -> std::string {
  return std::visit(
      [](const auto& target) -> std::string { return Range(target); },
      key.target);
}

auto DescribeDefault(const SettingKey& key) -> std::string {
  if (key.required) {
    return "required";
  }
  DaemonSettings defaults;
  return std::visit(
      [&](const auto& target) -> std::string {
        return Format(target.field(defaults));
      },
      key.target);
}

}  // namespace fireflythread
