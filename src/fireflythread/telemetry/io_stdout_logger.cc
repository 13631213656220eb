#include "fireflythread/telemetry/io_stdout_logger.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/telemetry/line_budget.h"

namespace fireflythread {
namespace {

/// Whether a write of one line does not block.
auto CanWrite() -> bool {
  pollfd descriptor{STDOUT_FILENO, POLLOUT, 0};
  return poll(&descriptor, 1, 0) == 1 && (descriptor.revents & POLLOUT) != 0;
}

auto WriteLine(LineBudget& budget, std::string_view line) -> void {
  if (!TakeLine(budget, ReadBootClock())) {
    return;
  }
  if (!CanWrite()) {
    ++budget.left_out;
    return;
  }
  std::string text;
  if (budget.left_out > 0) {
    text = fmt::format("{{\"event\":\"lines_left_out\",\"count\":{}}}\n",
                       std::exchange(budget.left_out, 0));
  }
  text += line;
  text += '\n';
  // A line that is cut short by the reader's end cannot be helped.
  [[maybe_unused]] const ssize_t written =
      write(STDOUT_FILENO, text.data(), text.size());
}

}  // namespace

auto MakeStdoutLogger(LogIdentity identity, LogLevel least) -> Logger {
  auto budget = std::make_shared<LineBudget>();
  budget->refilled_at = ReadBootClock();
  return Logger(
      std::move(identity), least,
      [budget](std::string_view line) -> void { WriteLine(*budget, line); },
      []() -> WallTime { return std::chrono::system_clock::now(); });
}

}  // namespace fireflythread
