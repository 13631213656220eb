#include "fireflythread/settings/setting_value.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <span>
#include <utility>

namespace fireflythread {
namespace {

using Unit = std::pair<std::string_view, std::int64_t>;

constexpr std::size_t kLongestName = 63;
// Keeps a number times its unit within 64 bits.
constexpr std::int64_t kLargestNumber = 1'000'000'000;

// Smallest unit first.
constexpr Unit kDurationUnits[] = {{"ms", 1},
                                   {"s", 1000},
                                   {"min", 60000},
                                   {"h", 3600000},
                                   {"d", 86400000}};
constexpr Unit kSizeUnits[] = {{"", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}};

auto ParseWithUnit(std::string_view text, std::span<const Unit> units)
    -> std::optional<std::int64_t> {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || number < 0 ||
      number > kLargestNumber) {
    return std::nullopt;
  }
  const std::string_view suffix(stop, static_cast<std::size_t>(end - stop));
  for (const auto& [name, factor] : units) {
    if (name == suffix) {
      return number * factor;
    }
  }
  return std::nullopt;
}

auto FormatWithUnit(std::int64_t value, std::span<const Unit> units)
    -> std::string {
  Unit chosen = units.front();
  for (const Unit& unit : units) {
    if (value >= unit.second && value % unit.second == 0) {
      chosen = unit;
    }
  }
  return fmt::format("{}{}", value / chosen.second, chosen.first);
}

auto IsNameCharacter(char c) -> bool {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

}  // namespace

auto ParseDuration(std::string_view text) -> std::optional<Duration> {
  const auto value = ParseWithUnit(text, kDurationUnits);
  if (!value) {
    return std::nullopt;
  }
  // A duration of this size would not fit into nanoseconds.
  constexpr std::int64_t kLargestMilliseconds = 1'000'000'000'000;
  return std::chrono::milliseconds(std::min(*value, kLargestMilliseconds));
}

auto FormatDuration(Duration duration) -> std::string {
  using std::chrono::milliseconds;
  return FormatWithUnit(
      std::chrono::duration_cast<milliseconds>(duration).count(),
      kDurationUnits);
}

auto ParseSize(std::string_view text) -> std::optional<std::int64_t> {
  return ParseWithUnit(text, kSizeUnits);
}

auto FormatSize(std::int64_t bytes) -> std::string {
  return FormatWithUnit(bytes, kSizeUnits);
}

auto ParseCount(std::string_view text) -> std::optional<std::int64_t> {
  return ParseWithUnit(text, std::span(kSizeUnits, 1));
}

auto ParseRatio(std::string_view text) -> std::optional<double> {
  double ratio = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, ratio);
  // The comparison is also false for NaN.
  if (text.empty() || error != std::errc() || stop != end ||
      !(ratio >= 0 && ratio <= 1)) {
    return std::nullopt;
  }
  return ratio;
}

auto ParseFlag(std::string_view text) -> std::optional<bool> {
  if (text != "true" && text != "false") {
    return std::nullopt;
  }
  return text == "true";
}

auto IsName(std::string_view text) -> bool {
  return !text.empty() && text.size() <= kLongestName && text.front() != '-' &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

}  // namespace fireflythread
