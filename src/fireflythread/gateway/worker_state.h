#ifndef FIREFLYTHREAD_GATEWAY_WORKER_STATE_H_
#define FIREFLYTHREAD_GATEWAY_WORKER_STATE_H_

#include <memory>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/gateway/connection_set.h"

namespace fireflythread {

/// What this entry keeps of one worker.
struct WorkerState {
  std::shared_ptr<ConnectionSet> connections;
  PoolName pool;
  ZoneName zone;
  int cores = 0;
  int memory_mb = 0;
  /// True while new work may be sent: serving, in its pool, not leaving.
  bool serving = false;
  /// Grows whenever `serving` or `pool` changes; an attempt whose connect took
  /// until after such a change is not written.
  std::uint64_t epoch = 0;
  int in_flight = 0;
  int reported_in_flight = 0;
  /// Attempts without a known result may run until these times.
  std::vector<TimePoint> uncertain_until;
};

/// Requests that run or may run on the worker.
[[nodiscard]] inline auto CountInFlight(const WorkerState& worker,
                                        TimePoint now) -> int {
  int count = worker.in_flight;
  for (const TimePoint until : worker.uncertain_until) {
    count += now < until ? 1 : 0;
  }
  return count;
}

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_WORKER_STATE_H_
