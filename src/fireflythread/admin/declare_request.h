#ifndef FIREFLYTHREAD_ADMIN_DECLARE_REQUEST_H_
#define FIREFLYTHREAD_ADMIN_DECLARE_REQUEST_H_

#include <string>

#include "fireflythread/admin/wave_selector.h"

namespace fireflythread::admin {

/// An operator's order to take VMs for maintenance.
struct DeclareRequest {
  WaveSelector selector;
  /// Plans the wave and reports the plan, without declaring it.
  bool dry_run = false;
  std::string reason;
  /// The name that belongs to the operator's token.
  std::string who;
  /// Names the wave, so that a repeated request declares it only once. Never
  /// empty: the server draws one when the client gave none.
  std::string key;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_DECLARE_REQUEST_H_
