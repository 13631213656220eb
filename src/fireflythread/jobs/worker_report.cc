#include "fireflythread/jobs/worker_report.h"

#include <array>
#include <cstddef>

namespace fireflythread {

auto RunResultName(RunResult end) -> std::string_view {
  static constexpr std::array<std::string_view, 6> kNames = {
      "done", "failed", "stopped", "lapsed", "broken", "alone"};
  return kNames.at(static_cast<std::size_t>(end));
}

}  // namespace fireflythread
