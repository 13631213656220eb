#ifndef FIREFLYTHREAD_ADMIN_CONTROLLER_STATUS_H_
#define FIREFLYTHREAD_ADMIN_CONTROLLER_STATUS_H_

#include <cstdint>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread::admin {

/// The controller lease as the answering entry sees it.
struct ControllerStatus {
  /// Empty when nobody is known to hold the lease.
  EntryId holder;
  std::uint64_t epoch = 0;
  /// Time since the last renewal that this entry saw.
  Duration since_renewal{0};
  Duration duration{0};
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_CONTROLLER_STATUS_H_
