#include "fireflythread/gateway/connection_set.h"

#include <algorithm>
#include <utility>

#include "fireflythread/base/assert.h"

namespace fireflythread {

ConnectionSet::ConnectionSet(std::string server_address,
                             std::size_t max_bytes,
                             TimerQueue& timer_queue)
    : address(std::move(server_address)),
      max_response_bytes(max_bytes),
      timers(timer_queue) {}

auto ConnectionSet::HasRoom() -> bool {
  this->DropClosed();
  return this->connections.size() < kMaxConnections ||
         std::any_of(this->connections.begin(), this->connections.end(),
                     [](const auto& each) { return each->IsIdle(); });
}

auto ConnectionSet::Send(OutgoingRequest request,
                         TimePoint deadline,
                         BackendConnection::DoneCallback done) -> void {
  this->DropClosed();
  auto idle = std::find_if(this->connections.begin(), this->connections.end(),
                           [](const auto& each) { return each->IsIdle(); });
  if (idle == this->connections.end()) {
    this->DropClosed();
    FIREFLYTHREAD_ASSERT(this->connections.size() < kMaxConnections,
                         "a worker has no more connections than allowed");
    idle = this->connections.insert(
        this->connections.end(),
        std::make_shared<BackendConnection>(
            this->address, this->max_response_bytes, this->timers));
  }
  (*idle)->Send(std::move(request), deadline, std::move(done));
}

auto ConnectionSet::CloseIdle() -> void {
  for (const auto& connection : this->connections) {
    if (connection->IsIdle()) {
      connection->Close("another connection to the worker fell silent");
    }
  }
  this->DropClosed();
}

auto ConnectionSet::DropClosed() -> void {
  std::erase_if(this->connections,
                [](const auto& each) { return each->IsClosed(); });
}

}  // namespace fireflythread
