#ifndef TEST_FIREFLYTHREAD_ADMIN_SERVER_FIXTURE_H_
#define TEST_FIREFLYTHREAD_ADMIN_SERVER_FIXTURE_H_

#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "fireflythread/admin/admin_server.h"
#include "fireflythread/telemetry/logger.h"
#include "test/fireflythread/admin/fake_backend.h"

namespace fireflythread::admin::test {

inline constexpr char kViewToken[] = "view-token-0123456789";
inline constexpr char kEditToken[] = "edit-token-0123456789";

inline auto Tokens() -> AdminTokens {
  return AdminTokens({{AdminRole::kView, "eve", kViewToken},
                      {AdminRole::kEdit, "ada", kEditToken}});
}

/// Runs `client` in a thread while the main context serves it.
inline auto Serve(const std::function<void()>& client) -> void {
  std::atomic<bool> is_done = false;
  std::thread thread([&] {
    client();
    is_done = true;
    g_main_context_wakeup(nullptr);
  });
  while (!is_done) {
    g_main_context_iteration(nullptr, TRUE);
  }
  thread.join();
}

/// A blocking TCP connection to the loopback interface.
class RawClient {
 public:
  explicit RawClient(std::uint16_t port)
      : descriptor(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    this->is_connected =
        connect(this->descriptor, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) == 0;
  }
  RawClient(RawClient&& other) noexcept
      : descriptor(std::exchange(other.descriptor, -1)),
        is_connected(other.is_connected) {}
  ~RawClient() {
    if (this->descriptor >= 0) {
      close(this->descriptor);
    }
  }

  auto Send(const std::string& text) -> void {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t length = send(this->descriptor, text.data() + sent,
                                  text.size() - sent, MSG_NOSIGNAL);
      if (length <= 0) {
        return;
      }
      sent += static_cast<std::size_t>(length);
    }
  }

  /// Everything up to the end of the stream.
  auto ReadAll() -> std::string {
    std::string text;
    char buffer[4096];
    ssize_t length = 0;
    while ((length = recv(this->descriptor, buffer, sizeof(buffer), 0)) > 0) {
      text.append(buffer, static_cast<std::size_t>(length));
    }
    return text;
  }

  int descriptor;
  bool is_connected = false;
};

/// A server on a free port over a fake backend.
struct ServerFixture {
  explicit ServerFixture(AdminServerOptions options = {})
      : server(WithAddress(std::move(options)), Tokens(), backend, logger) {
    const auto problem = this->server.Start();
    INFO(problem.value_or(""));
    REQUIRE_FALSE(problem.has_value());
  }

  static auto WithAddress(AdminServerOptions options) -> AdminServerOptions {
    options.listen = Endpoint{"127.0.0.1", 0};
    return options;
  }

  /// The whole response to raw text; the server must end the connection.
  auto Exchange(const std::string& text) -> std::string {
    std::string response;
    Serve([&] {
      RawClient client(this->server.Port());
      client.Send(text);
      response = client.ReadAll();
    });
    return response;
  }

  auto Get(const std::string& path, const std::string& token = kViewToken)
      -> std::string {
    return this->Exchange("GET " + path +
                          " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                          "Authorization: Bearer " +
                          token + "\r\n\r\n");
  }

  FakeBackend backend;
  Logger logger{LogIdentity{}, LogLevel::kError, [](std::string_view) {},
                [] { return WallTime(); }};
  AdminServer server;
};

}  // namespace fireflythread::admin::test

#endif  // TEST_FIREFLYTHREAD_ADMIN_SERVER_FIXTURE_H_
