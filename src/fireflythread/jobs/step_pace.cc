#include "fireflythread/jobs/step_pace.h"

#include <algorithm>

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

/// Events within this time are handled together.
constexpr milliseconds kLeastDelay{5};

/// A step during which the VM was suspended seems to last long; the looks that
/// extend leases must not wait for as long again.
constexpr milliseconds kLongestDelay{100};

}  // namespace

auto DelayOfStep(Duration last_step, Duration idle) -> milliseconds {
  return std::clamp(std::chrono::ceil<milliseconds>(last_step - idle),
                    kLeastDelay, kLongestDelay);
}

}  // namespace fireflythread
