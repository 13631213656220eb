#ifndef FIREFLYTHREAD_SETTINGS_SETTING_KEY_H_
#define FIREFLYTHREAD_SETTINGS_SETTING_KEY_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "fireflythread/settings/daemon_settings.h"

namespace fireflythread {

/// How one key is read, and the field of DaemonSettings that it sets. The
/// default is the field's initial value.
struct SettingKey {
  template <typename T>
  using Field = auto(*)(DaemonSettings&) -> T&;

  struct DurationRange {
    Field<Duration> field;
    Duration min;
    Duration max;
  };
  struct SizeRange {
    Field<std::int64_t> field;
    std::int64_t min;
    std::int64_t max;
  };
  struct CountRange {
    Field<int> field;
    int min;
    int max;
  };
  struct RatioRange {
    Field<double> field;
  };
  struct Flag {
    Field<bool> field;
  };
  struct Path {
    Field<std::string> field;
  };
  struct Name {
    Field<std::string> field;
  };
  /// Names separated by commas.
  struct ZoneList {
    Field<std::set<ZoneName>> field;
  };
  struct Address {
    Field<Endpoint> field;
  };
  struct Level {
    Field<LogLevel> field;
  };
  using Target = std::variant<DurationRange,
                              SizeRange,
                              CountRange,
                              RatioRange,
                              Flag,
                              Path,
                              Name,
                              ZoneList,
                              Address,
                              Level>;

  std::string_view section;
  std::string_view key;
  bool required = false;
  Target target;
};

/// Sets the key's field from text; false when the text is out of range.
[[nodiscard]] auto ApplySetting(const SettingKey& key,
                                std::string_view text,
                                DaemonSettings& settings) -> bool;

/// The allowed values in words, e.g. "100ms to 60s".
[[nodiscard]] auto DescribeRange(const SettingKey& key) -> std::string;

/// The value that holds when the key is left out; "none" for an empty one.
[[nodiscard]] auto DescribeDefault(const SettingKey& key) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_SETTING_KEY_H_
