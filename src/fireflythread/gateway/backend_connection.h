#ifndef FIREFLYTHREAD_GATEWAY_BACKEND_CONNECTION_H_
#define FIREFLYTHREAD_GATEWAY_BACKEND_CONNECTION_H_

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fireflythread/base/time.h"
#include "fireflythread/gateway/attempt_report.h"
#include "fireflythread/gateway/fd_watch.h"
#include "fireflythread/gateway/outgoing_request.h"
#include "fireflythread/gateway/response_reader.h"
#include "fireflythread/gateway/timer_queue.h"

namespace fireflythread {

/// One TCP connection to a backend server, with at most one request on it. It
/// never sends a request twice: each Send() is one attempt. A connection that
/// fails, falls silent or gets bytes that belong to no request is closed.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection> {
 public:
  using DoneCallback = std::function<void(AttemptReport)>;

  /// `address` is an IP address and a port. Nothing is opened until Send().
  BackendConnection(std::string address,
                    std::size_t max_response_bytes,
                    TimerQueue& timers);
  ~BackendConnection();
  BackendConnection(const BackendConnection&) = delete;
  auto operator=(const BackendConnection&) -> BackendConnection& = delete;

  /// Writes the request, connecting first if needed, and runs `done` exactly
  /// once, at the latest at `deadline`, never inside this call. Only when the
  /// connection is idle or new.
  auto Send(OutgoingRequest request, TimePoint deadline, DoneCallback done)
      -> void;

  /// True if no request is on it and the peer has neither closed it nor sent
  /// anything. Asks the socket, so a close that the main loop has not yet
  /// reported is seen before anything is written.
  [[nodiscard]] auto IsIdle() -> bool;
  [[nodiscard]] auto IsClosed() const -> bool {
    return this->phase == Phase::kClosed;
  }

  /// Closes it; a request on it ends as not sent or unknown.
  auto Close(const std::string& reason) -> void;

 private:
  enum class Phase : std::uint8_t { kNew, kConnecting, kBusy, kIdle, kClosed };

  auto StartConnect() -> void;
  auto FinishConnect() -> void;
  auto FailLater(const std::string& reason) -> void;
  auto CloseAt(TimePoint at, const std::string& reason) -> void;
  auto WriteMore() -> void;
  auto ReadMore() -> void;
  auto OnAttemptDeadline() -> void;
  auto TakeAnswer() -> void;
  auto Finish(AttemptReport report) -> void;
  auto CloseSocket() -> void;
  auto Descriptor() const -> int;

  std::string address;
  TimerQueue& timers;
  Phase phase = Phase::kNew;
  GSocket* socket = nullptr;
  FdWatch write_watch;
  FdWatch read_watch;
  ResponseReader reader;
  OutgoingRequest request;
  std::size_t written = 0;
  bool received = false;
  std::optional<TimerId> deadline_timer;
  std::optional<TimerId> connect_timer;
  DoneCallback done;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_BACKEND_CONNECTION_H_
