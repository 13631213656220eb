#ifndef FIREFLYTHREAD_ENTRY_DUTY_MONITOR_H_
#define FIREFLYTHREAD_ENTRY_DUTY_MONITOR_H_

#include "fireflythread/base/time.h"
#include "fireflythread/duties/duty_state.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {

/// Logs, once a second, what the owner of the duties knows of each pool: its
/// VMs and what it and its parts need. It tells an operator why a pool has no
/// more of them.
class DutyMonitor {
 public:
  explicit DutyMonitor(const Logger& log);

  auto Report(const DutyState& state, TimePoint now) -> void;

 private:
  const Logger& logger;
  TimePoint reported_at;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_DUTY_MONITOR_H_
