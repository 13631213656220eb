#ifndef TEST_PROCESS_TCP_RELAY_H_
#define TEST_PROCESS_TCP_RELAY_H_

#include <atomic>
#include <list>
#include <thread>

namespace fireflythread::test {

/// Forwards TCP connections on the loopback address, in a thread of its own.
/// It can stop forwarding the open connections without closing them, as a
/// middlebox does that has lost their state; new connections then still work.
class TcpRelay {
 public:
  /// Forwards from a free port to this port.
  explicit TcpRelay(int to_port);
  ~TcpRelay();
  TcpRelay(const TcpRelay&) = delete;
  auto operator=(const TcpRelay&) -> TcpRelay& = delete;

  [[nodiscard]] auto Port() const -> int { return this->port; }
  /// Nothing passes on the connections that are open now, in either direction,
  /// and neither end learns that the other one closed.
  auto SilenceEstablished() -> void { this->silence_requested = true; }
  /// Returns whether a connection was opened after the last silence.
  [[nodiscard]] auto HasNewConnection() const -> bool {
    return !this->silence_requested && this->new_connections > 0;
  }

 private:
  struct Connection {
    int near = -1;
    int far = -1;
    bool silent = false;
  };

  auto Run() -> void;
  auto Accept() -> void;
  auto CloseEnded() -> void;

  int to_port;
  int listener = -1;
  int port = 0;
  std::list<Connection> connections;
  std::atomic<bool> silence_requested = false;
  /// Connections since the last silence.
  std::atomic<int> new_connections = 0;
  std::atomic<bool> stopping = false;
  std::thread thread;
};

}  // namespace fireflythread::test

#endif  // TEST_PROCESS_TCP_RELAY_H_
