#ifndef FIREFLYTHREAD_DAEMON_CONTROL_STATE_H_
#define FIREFLYTHREAD_DAEMON_CONTROL_STATE_H_

#include <memory>

#include "fireflythread/config/fwd.h"
#include "fireflythread/fleet/fwd.h"

namespace fireflythread {

/// The configuration and the fleet that an entry has applied. Never null.
struct ControlState {
  std::shared_ptr<const ConfigSnapshot> config;
  std::shared_ptr<const FleetView> fleet;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_CONTROL_STATE_H_
