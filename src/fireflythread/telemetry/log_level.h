#ifndef FIREFLYTHREAD_TELEMETRY_LOG_LEVEL_H_
#define FIREFLYTHREAD_TELEMETRY_LOG_LEVEL_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace fireflythread {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// "debug", "info", "warning" or "error".
[[nodiscard]] auto FormatLogLevel(LogLevel level) -> std::string_view;
[[nodiscard]] auto ParseLogLevel(std::string_view text)
    -> std::optional<LogLevel>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_LOG_LEVEL_H_
