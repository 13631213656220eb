#ifndef FIREFLYTHREAD_SETTINGS_SETTING_VALUE_H_
#define FIREFLYTHREAD_SETTINGS_SETTING_VALUE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// A whole number with one of the units ms, s, min: "500ms", "2s".
[[nodiscard]] auto ParseDuration(std::string_view text)
    -> std::optional<Duration>;
[[nodiscard]] auto FormatDuration(Duration duration) -> std::string;

/// A whole number of bytes, or of KiB or MiB: "4096", "16KiB", "1MiB".
[[nodiscard]] auto ParseSize(std::string_view text)
    -> std::optional<std::int64_t>;
[[nodiscard]] auto FormatSize(std::int64_t bytes) -> std::string;

/// A whole number that is not negative.
[[nodiscard]] auto ParseCount(std::string_view text)
    -> std::optional<std::int64_t>;

/// A number from 0 to 1.
[[nodiscard]] auto ParseRatio(std::string_view text) -> std::optional<double>;

/// "true" or "false".
[[nodiscard]] auto ParseFlag(std::string_view text) -> std::optional<bool>;

/// 1 to 63 characters out of a-z, 0-9 and '-', starting with a letter or
/// digit.
[[nodiscard]] auto IsName(std::string_view text) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_SETTING_VALUE_H_
