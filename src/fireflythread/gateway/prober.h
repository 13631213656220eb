#ifndef FIREFLYTHREAD_GATEWAY_PROBER_H_
#define FIREFLYTHREAD_GATEWAY_PROBER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/gateway/backend_connection.h"
#include "fireflythread/gateway/timer_queue.h"

namespace fireflythread {

/// Asks workers for their health on connections of its own, so that a fault of
/// an established connection is told from one of the worker.
class Prober {
 public:
  /// The worker's answer to a probe: good if it was complete with status 200.
  using DoneCallback = std::function<void(const VmId& vm, bool good)>;

  static constexpr Duration kTimeLimit = std::chrono::seconds(1);

  Prober(TimerQueue& timers, DoneCallback done);

  /// Probes a worker, unless a probe of it is under way.
  auto Probe(const VmId& vm, const std::string& address) -> void;

 private:
  TimerQueue& timers;
  DoneCallback done;
  std::map<VmId, std::shared_ptr<BackendConnection>> probes;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_PROBER_H_
