#ifndef FIREFLYTHREAD_ADMIN_PENDING_RESPONSE_H_
#define FIREFLYTHREAD_ADMIN_PENDING_RESPONSE_H_

#include <libsoup/soup.h>

#include <functional>

#include "fireflythread/admin/g_ptr.h"
#include "fireflythread/base/time.h"

namespace fireflythread::admin::internal {

/// A paused message that gets one response: that of the backend, or that of the
/// timer when the backend takes too long.
class PendingResponse {
 public:
  explicit PendingResponse(SoupServerMessage* message);
  ~PendingResponse();
  PendingResponse(const PendingResponse&) = delete;
  auto operator=(const PendingResponse&) -> PendingResponse& = delete;

  auto StartTimer(Duration limit, std::function<void()> callback) -> void;

  /// The message at the first call, which also stops the timer; null later.
  [[nodiscard]] auto TakeMessage() -> SoupServerMessage*;

 private:
  static auto OnTimer(gpointer data) -> gboolean;

  GPtr<SoupServerMessage> message;
  std::function<void()> on_timer;
  guint timer = 0;
  bool is_taken = false;
};

}  // namespace fireflythread::admin::internal

#endif  // FIREFLYTHREAD_ADMIN_PENDING_RESPONSE_H_
