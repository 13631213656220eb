#ifndef STANDIN_COMMON_HTTP_LISTENER_H_
#define STANDIN_COMMON_HTTP_LISTENER_H_

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "standin/common/http_exchange.h"

namespace fireflythread::standin {

/// An HTTP server on one port that limits, counts, silences and cuts its
/// connections.
class HttpListener {
 public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Listens on `listen_host`; port 0 takes a free port. Ends the process with
  /// a message when the port is taken.
  HttpListener(std::string listen_host, int listen_port, Handler on_request);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  auto operator=(const HttpListener&) -> HttpListener& = delete;

  [[nodiscard]] auto Port() const -> int { return this->port; }
  [[nodiscard]] auto Address() const -> std::string;

  /// Connections above the limit are closed at once; 0 means no limit.
  auto SetMaxConnections(int limit) -> void { this->max_connections = limit; }
  [[nodiscard]] auto Connections() const -> int;
  [[nodiscard]] auto PeakConnections() const -> int { return this->peak; }
  [[nodiscard]] auto RefusedConnections() const -> int { return this->refused; }

  /// Closes the port and all connections, as a lost VM does.
  auto Shut() -> void;
  /// Listens on the same port again.
  auto Open() -> void;
  [[nodiscard]] auto IsOpen() const -> bool { return this->service != nullptr; }
  /// From now on nothing is answered on the connections that are open now.
  auto SilenceEstablished() -> void;
  [[nodiscard]] auto IsSilent(const HttpExchange& exchange) const -> bool;

 private:
  struct Connection {
    int client_port = 0;
    /// True between the arrival of a request and the end of its answer.
    bool busy = false;
    bool client_closed = false;
    GSource* watch = nullptr;
  };

  /// Binds a socket that never listens. While the port is shut, connections
  /// are refused and no other program can take the port.
  auto KeepPort() -> void;
  auto Accept(GSocketConnection* connection) -> void;
  auto SetBusy(SoupServerMessage* message, bool busy) -> void;
  auto WatchHangup(GObject* object) -> void;
  auto CloseConnection(GObject* object) -> void;
  static auto Forget(gpointer data, GObject* connection) -> void;

  std::string host;
  int port;
  Handler handler;
  SoupServer* server;
  GSocket* port_keeper = nullptr;
  GSocketService* service = nullptr;
  std::map<GObject*, Connection> connections;
  std::set<int> silent_ports;
  int max_connections = 0;
  int peak = 0;
  int refused = 0;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_COMMON_HTTP_LISTENER_H_
