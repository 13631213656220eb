#include "fireflythread/jobs/task_state.h"

#include <array>
#include <cstddef>

namespace fireflythread {

auto RunPhaseName(RunPhase phase) -> std::string_view {
  static constexpr std::array<std::string_view, 7> kNames = {
      "waiting",    "planned",  "starting", "running",
      "unresolved", "stopping", "done"};
  return kNames.at(static_cast<std::size_t>(phase));
}

}  // namespace fireflythread
