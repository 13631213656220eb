#ifndef FIREFLYTHREAD_GATEWAY_CONNECTION_SET_H_
#define FIREFLYTHREAD_GATEWAY_CONNECTION_SET_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "fireflythread/gateway/backend_connection.h"
#include "fireflythread/gateway/timer_queue.h"

namespace fireflythread {

/// The connections to one worker, kept open between requests.
class ConnectionSet {
 public:
  /// 8 entries with 7 each take 56 of the about 60 connections that a worker
  /// accepts; the rest are for probes and for connections being closed.
  static constexpr std::size_t kMaxConnections = 7;

  ConnectionSet(std::string address,
                std::size_t max_response_bytes,
                TimerQueue& timers);

  [[nodiscard]] auto Address() const -> const std::string& {
    return this->address;
  }

  /// True if Send() would find an idle connection or room for a new one.
  [[nodiscard]] auto HasRoom() -> bool;

  /// Makes one attempt. Only when HasRoom() is true.
  auto Send(OutgoingRequest request,
            TimePoint deadline,
            BackendConnection::DoneCallback done) -> void;

  /// Closes the connections that carry no request, after one of the set fell
  /// silent: what lost the state of one has probably lost that of the others.
  auto CloseIdle() -> void;

 private:
  auto DropClosed() -> void;

  std::string address;
  std::size_t max_response_bytes;
  TimerQueue& timers;
  std::vector<std::shared_ptr<BackendConnection>> connections;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_CONNECTION_SET_H_
