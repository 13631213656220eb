#include "fireflythread/admin/pending_response.h"

#include <chrono>
#include <utility>

namespace fireflythread::admin::internal {

PendingResponse::PendingResponse(SoupServerMessage* paused)
    : message(AddRef(paused)) {}

PendingResponse::~PendingResponse() {
  if (this->timer != 0) {
    g_source_remove(this->timer);
  }
}

auto PendingResponse::StartTimer(Duration limit, std::function<void()> callback)
    -> void {
  if (this->is_taken) {
    return;
  }
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(limit);
  this->on_timer = std::move(callback);
  this->timer = g_timeout_add(static_cast<guint>(wait.count()),
                              &PendingResponse::OnTimer, this);
}

auto PendingResponse::TakeMessage() -> SoupServerMessage* {
  if (std::exchange(this->is_taken, true)) {
    return nullptr;
  }
  if (this->timer != 0) {
    g_source_remove(std::exchange(this->timer, 0));
  }
  // The callback holds this object, so that the timer finds it. Without this
  // the two would keep each other.
  this->on_timer = nullptr;
  return this->message.get();
}

auto PendingResponse::OnTimer(gpointer data) -> gboolean {
  auto* pending = static_cast<PendingResponse*>(data);
  pending->timer = 0;
  const auto callback = std::exchange(pending->on_timer, nullptr);
  callback();
  return G_SOURCE_REMOVE;
}

}  // namespace fireflythread::admin::internal
