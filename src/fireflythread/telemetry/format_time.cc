#include "fireflythread/telemetry/format_time.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace fireflythread {

auto FormatWallTime(WallTime time) -> std::string {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  const auto whole = std::chrono::floor<seconds>(time);
  const auto rest = std::chrono::floor<milliseconds>(time - whole);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(whole)),
                     rest.count());
}

}  // namespace fireflythread
