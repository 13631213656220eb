#include "platform/http_json.h"

#include <gio/gio.h>
#include <glib.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace fireflythread::adapter {
namespace {

using std::chrono::milliseconds;

/// Time between two parts of an answer.
constexpr milliseconds kPause{100};

/// Parts of a whole answer; together they take longer than kSilence.
constexpr int kParts = 12;

/// No answer needs as long as this for its first or its next part.
constexpr milliseconds kSilence{600};

constexpr milliseconds kTotal{20000};

/// Accepts one connection at a time and answers a request in parts, as a store
/// does at the end of a slow link.
class SlowServer {
 public:
  explicit SlowServer(int parts_to_send)
      : parts(parts_to_send), service(g_socket_service_new()) {
    port = g_socket_listener_add_any_inet_port(G_SOCKET_LISTENER(service),
                                               nullptr, nullptr);
    g_signal_connect(service, "incoming", G_CALLBACK(&SlowServer::OnIncoming),
                     this);
    g_socket_service_start(service);
  }
  ~SlowServer() {
    if (this->timer != 0) {
      g_source_remove(this->timer);
    }
    g_clear_object(&this->connection);
    g_socket_service_stop(this->service);
    g_object_unref(this->service);
  }
  SlowServer(const SlowServer&) = delete;
  auto operator=(const SlowServer&) -> SlowServer& = delete;

  [[nodiscard]] auto Address() const -> std::string {
    return "127.0.0.1:" + std::to_string(this->port);
  }

 private:
  static auto OnIncoming(GSocketService* /*service*/,
                         GSocketConnection* accepted,
                         GObject* /*source*/,
                         gpointer data) -> gboolean {
    auto* self = static_cast<SlowServer*>(data);
    g_clear_object(&self->connection);
    self->connection = G_SOCKET_CONNECTION(g_object_ref(accepted));
    self->Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(kParts + 2) + "\r\n\r\n\"");
    self->timer = g_timeout_add(static_cast<guint>(kPause.count()),
                                &SlowServer::OnPause, self);
    return TRUE;
  }

  static auto OnPause(gpointer data) -> gboolean {
    auto* self = static_cast<SlowServer*>(data);
    if (self->sent == self->parts) {
      self->timer = 0;
      return G_SOURCE_REMOVE;
    }
    ++self->sent;
    self->Write(self->sent == kParts ? "x\"" : "x");
    return G_SOURCE_CONTINUE;
  }

  auto Write(const std::string& text) -> void {
    g_output_stream_write_all(
        g_io_stream_get_output_stream(G_IO_STREAM(this->connection)),
        text.data(), text.size(), nullptr, nullptr, nullptr);
  }

  int parts;
  int sent = 0;
  guint16 port = 0;
  guint timer = 0;
  GSocketService* service;
  GSocketConnection* connection = nullptr;
};

/// Runs the main loop until the call has ended.
auto Fetch(const SlowServer& server) -> JsonResult {
  HttpJson http(1);
  std::optional<JsonResult> result;
  http.Send({"GET", server.Address(), "/"}, HttpLimits{kSilence, kTotal},
            [&result](const JsonResult& ended) { result = ended; });
  while (!result) {
    g_main_context_iteration(nullptr, TRUE);
  }
  return *result;
}

TEST_CASE("A large answer on a slow link is not given up while it arrives",
          "[platform]") {
  // Guards against a reader of the store that has fallen behind and gives up
  // each answer for its size, asks again from the same place, and so never
  // hears of new jobs and cancellations.
  const SlowServer server(kParts);
  const JsonResult result = Fetch(server);
  REQUIRE(std::holds_alternative<JsonReply>(result));
  CHECK(std::get<JsonReply>(result).body == std::string(kParts, 'x'));
}

TEST_CASE("An answer that stops half-way is given up", "[platform]") {
  // Guards against a read that waits for a connection that went silent.
  const SlowServer server(kParts / 2);
  const JsonResult result = Fetch(server);
  REQUIRE(std::holds_alternative<HttpFailure>(result));
  CHECK(std::get<HttpFailure>(result).timed_out);
}

}  // namespace
}  // namespace fireflythread::adapter
