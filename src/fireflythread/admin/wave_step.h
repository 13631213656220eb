#ifndef FIREFLYTHREAD_ADMIN_WAVE_STEP_H_
#define FIREFLYTHREAD_ADMIN_WAVE_STEP_H_

#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread::admin {

/// VMs that a wave takes together, and when, counted from its begin.
struct WaveStep {
  std::vector<VmId> vms;
  Duration begin{0};
  Duration expected_duration{0};
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_WAVE_STEP_H_
