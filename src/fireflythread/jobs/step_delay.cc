#include "fireflythread/jobs/step_delay.h"

#include <algorithm>

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Minimum delay, within which events are handled together.
constexpr milliseconds kMinDelay{5};

/// Maximum delay. A step during which the VM was suspended seems to take long,
/// but the polls that extend leases must not be delayed for as long again.
constexpr milliseconds kMaxDelay{100};

}  // namespace

auto StepDelay(Duration last_step, Duration idle) -> milliseconds {
  return std::clamp(std::chrono::ceil<milliseconds>(last_step - idle),
                    kMinDelay, kMaxDelay);
}

}  // namespace fireflythread
