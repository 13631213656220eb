#include "fireflythread/telemetry/io_stderr_logger.h"

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <utility>

namespace fireflythread {

auto MakeStderrLogger(LogIdentity identity, LogLevel least) -> Logger {
  const auto write_line = [](std::string_view line) -> void {
    // One write for each line, so that lines of several processes that share
    // standard error do not mix.
    const std::string text = fmt::format("{}\n", line);
    std::fwrite(text.data(), 1, text.size(), stderr);
  };
  return Logger(std::move(identity), least, write_line,
                []() -> WallTime { return std::chrono::system_clock::now(); });
}

}  // namespace fireflythread
