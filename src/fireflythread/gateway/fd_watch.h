#ifndef FIREFLYTHREAD_GATEWAY_FD_WATCH_H_
#define FIREFLYTHREAD_GATEWAY_FD_WATCH_H_

#include <glib.h>

#include <functional>

namespace fireflythread {

/// Runs a callback on the main loop each time a file descriptor is ready.
/// Stops with its destruction, which may happen inside the callback.
class FdWatch {
 public:
  using Callback = std::function<void()>;

  FdWatch() = default;
  FdWatch(int descriptor, GIOCondition condition, Callback callback);
  ~FdWatch();
  FdWatch(FdWatch&& other) noexcept;
  auto operator=(FdWatch&& other) noexcept -> FdWatch&;
  FdWatch(const FdWatch&) = delete;
  auto operator=(const FdWatch&) -> FdWatch& = delete;

  auto Stop() -> void;

 private:
  GSource* source = nullptr;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_FD_WATCH_H_
