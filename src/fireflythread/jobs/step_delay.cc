#include "fireflythread/jobs/step_delay.h"

#include <algorithm>

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Events within this time are handled together.
constexpr milliseconds kMinDelay{5};

/// A step during which the VM was suspended seems to last long; the looks that
/// extend leases must not wait for as long again.
constexpr milliseconds kMaxDelay{100};

}  // namespace

auto StepDelay(Duration last_step, Duration idle) -> milliseconds {
  return std::clamp(std::chrono::ceil<milliseconds>(last_step - idle),
                    kMinDelay, kMaxDelay);
}

}  // namespace fireflythread
