#ifndef FIREFLYTHREAD_TEST_GATEWAY_TEST_BACKEND_H_
#define FIREFLYTHREAD_TEST_GATEWAY_TEST_BACKEND_H_

#include <gio/gio.h>

#include <functional>
#include <string>
#include <vector>

namespace fireflythread {

/// A backend server of raw sockets that counts the requests it has read whole,
/// so that an attempt the gateway did not count is seen. What it does with
/// each request is up to the test.
class TestBackend {
 public:
  /// The bytes to answer with; `close` closes the connection after them. With
  /// `silent` nothing is sent and the connection stays open.
  struct Reply {
    std::string bytes;
    bool close = false;
    bool silent = false;
  };
  using Handler = std::function<Reply(const std::string& request)>;

  explicit TestBackend(Handler handler);
  ~TestBackend();
  TestBackend(const TestBackend&) = delete;
  auto operator=(const TestBackend&) -> TestBackend& = delete;

  [[nodiscard]] auto Address() const -> std::string;

  Handler handler;
  /// All requests read, heads with their bodies, and connections accepted.
  std::vector<std::string> requests;
  int connections = 0;

 private:
  struct Peer;
  static auto OnIncoming(GSocketService* service,
                         GSocketConnection* connection,
                         GObject* source,
                         gpointer self) -> gboolean;
  static auto OnBytes(GObject* source, GAsyncResult* result, gpointer peer)
      -> void;
  static auto ReadNext(Peer* peer) -> void;
  auto HandleBytes(Peer* peer) -> bool;

  GSocketService* service;
  std::uint16_t port;
  std::vector<Peer*> peers;
};

/// A whole 200 response with a length.
[[nodiscard]] auto OkReply(const std::string& body) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TEST_GATEWAY_TEST_BACKEND_H_
