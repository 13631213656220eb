#ifndef FIREFLYTHREAD_JOBS_WAVE_REQUEST_H_
#define FIREFLYTHREAD_JOBS_WAVE_REQUEST_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// A maintenance wave: each VM has its upkeep within `duration`, with at most
/// `cap` VMs down at the same time.
struct WaveRequest {
  std::int64_t number = 0;
  std::vector<VmId> vms;
  std::chrono::seconds duration{0};
  int cap = 1;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_WAVE_REQUEST_H_
