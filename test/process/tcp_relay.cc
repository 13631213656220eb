#include "test/process/tcp_relay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <vector>

namespace fireflythread::test {
namespace {

/// How often the thread looks for orders while nothing arrives.
constexpr int kPollMs = 10;
constexpr int kBacklog = 64;
constexpr std::size_t kBufferBytes = 65536;

auto LoopbackAddress(int port) -> sockaddr_in {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

/// Passes on what has arrived; false at the end of the connection.
auto Forward(int from, int to) -> bool {
  std::array<char, kBufferBytes> buffer{};
  const ssize_t got = recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (got <= 0) {
    return false;
  }
  ssize_t sent = 0;
  while (sent < got) {
    const ssize_t count =
        send(to, buffer.data() + sent, static_cast<std::size_t>(got - sent),
             MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += count;
  }
  return true;
}

auto IsReadable(const pollfd& polled) -> bool {
  return (polled.revents & (POLLIN | POLLHUP | POLLERR)) != 0;
}

}  // namespace

TcpRelay::TcpRelay(int destination)
    : to_port(destination),
      listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (bind(this->listener, generic, size) != 0 ||
      listen(this->listener, kBacklog) != 0 ||
      getsockname(this->listener, generic, &size) != 0) {
    throw std::runtime_error("the relay cannot listen");
  }
  this->port = ntohs(address.sin_port);
  this->thread = std::thread([this] { this->Run(); });
}

TcpRelay::~TcpRelay() {
  this->stopping = true;
  this->thread.join();
  for (const Connection& connection : this->connections) {
    close(connection.near);
    close(connection.far);
  }
  close(this->listener);
}

auto TcpRelay::Run() -> void {
  while (!this->stopping) {
    if (this->silence_requested) {
      for (Connection& connection : this->connections) {
        connection.silent = true;
      }
      this->new_connections = 0;
      this->silence_requested = false;
    }
    std::vector<pollfd> polled = {{this->listener, POLLIN, 0}};
    std::vector<Connection*> open;
    for (Connection& connection : this->connections) {
      if (!connection.silent) {
        open.push_back(&connection);
        polled.push_back({connection.near, POLLIN, 0});
        polled.push_back({connection.far, POLLIN, 0});
      }
    }
    poll(polled.data(), polled.size(), kPollMs);
    for (std::size_t i = 0; i < open.size(); ++i) {
      Connection& connection = *open[i];
      const bool ended = (IsReadable(polled[1 + 2 * i]) &&
                          !Forward(connection.near, connection.far)) ||
                         (IsReadable(polled[2 + 2 * i]) &&
                          !Forward(connection.far, connection.near));
      if (ended) {
        close(connection.near);
        close(connection.far);
        connection.near = -1;
      }
    }
    this->CloseEnded();
    if (IsReadable(polled[0])) {
      this->Accept();
    }
  }
}

auto TcpRelay::CloseEnded() -> void {
  this->connections.remove_if(
      [](const Connection& connection) { return connection.near < 0; });
}

auto TcpRelay::Accept() -> void {
  Connection connection;
  connection.near = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
  connection.far = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(this->to_port);
  if (connect(connection.far, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) != 0) {
    // The same as a refused connection, as far as the caller can tell.
    close(connection.near);
    close(connection.far);
    return;
  }
  this->connections.push_back(connection);
  ++this->new_connections;
}

}  // namespace fireflythread::test
