#include "fireflythread/telemetry/io_stdout_logger.h"

#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdint>
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

/// Writes whole lines; one that would block is left out.
auto WriteText(std::string text) -> void {
  if (!CanWrite()) {
    return;
  }
  text += '\n';
  // A line that is cut short by the reader's end cannot be helped.
  [[maybe_unused]] const ssize_t written =
      write(STDOUT_FILENO, text.data(), text.size());
}

/// Takes a line of the event's budget. Tells first how many were left out.
auto PassGate(LineBudget& budget, std::string_view event) -> bool {
  if (!TakeLine(budget, event, ReadBootClock())) {
    return false;
  }
  if (const std::uint64_t count = TakeLeftOut(budget, event)) {
    WriteText(fmt::format(
        R"({{"event":"lines_left_out","of":"{}","count":{}}})", event, count));
  }
  return true;
}

}  // namespace

auto MakeStdoutLogger(LogIdentity identity, LogLevel least) -> Logger {
  auto budget = std::make_shared<LineBudget>();
  return Logger(
      std::move(identity), least,
      [](std::string_view line) -> void { WriteText(std::string(line)); },
      []() -> WallTime { return std::chrono::system_clock::now(); },
      [budget](std::string_view event) -> bool {
        return PassGate(*budget, event);
      });
}

}  // namespace fireflythread
