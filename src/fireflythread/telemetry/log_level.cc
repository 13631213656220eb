#include "fireflythread/telemetry/log_level.h"

#include <array>

namespace fireflythread {

auto FormatLogLevel(LogLevel level) -> std::string_view {
  static constexpr std::array<std::string_view, 4> kNames{"debug", "info",
                                                          "warning", "error"};
  return kNames[static_cast<std::size_t>(level)];
}

auto ParseLogLevel(std::string_view text) -> std::optional<LogLevel> {
  for (const LogLevel level : {LogLevel::kDebug, LogLevel::kInfo,
                               LogLevel::kWarning, LogLevel::kError}) {
    if (FormatLogLevel(level) == text) {
      return level;
    }
  }
  return std::nullopt;
}

}  // namespace fireflythread
