#include <gio/gio.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "test/fireflythread/gateway/gateway_fixture.h"

namespace fireflythread {
namespace {

using Reply = TestBackend::Reply;

/// A caller's plain connection that notes when the entry closes it.
class RawCaller {
 public:
  RawCaller(std::uint16_t port, const std::string& bytes) {
    g_autoptr(GSocketClient) client = g_socket_client_new();
    this->connection = g_socket_client_connect_to_host(client, "127.0.0.1",
                                                       port, nullptr, nullptr);
    REQUIRE(this->connection != nullptr);
    GOutputStream* output =
        g_io_stream_get_output_stream(G_IO_STREAM(this->connection));
    g_output_stream_write_all(output, bytes.data(), bytes.size(), nullptr,
                              nullptr, nullptr);
    g_socket_set_blocking(g_socket_connection_get_socket(this->connection),
                          FALSE);
  }
  ~RawCaller() { g_object_unref(this->connection); }
  RawCaller(const RawCaller&) = delete;
  auto operator=(const RawCaller&) -> RawCaller& = delete;

  [[nodiscard]] auto IsClosed() const -> bool {
    char byte = 0;
    g_autoptr(GError) error = nullptr;
    const gssize got =
        g_socket_receive(g_socket_connection_get_socket(this->connection),
                         &byte, 1, nullptr, &error);
    return got == 0 ||
           (got < 0 && g_error_matches(error, G_IO_ERROR,
                                       G_IO_ERROR_WOULD_BLOCK) == FALSE);
  }

 private:
  GSocketConnection* connection = nullptr;
};

}  // namespace

// Guards against a caller that fills memory with headers.
TEST_CASE("a request with too large headers is refused") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewaySettings settings;
  settings.max_header_bytes = 2000;
  GatewayFixture fixture(settings);
  fixture.AddWorker("vm-1", backend.Address());
  const CallerAnswer answer = fixture.Call(
      "GET", "/s/orders/1", {{"X-Filler", std::string(2000, 'x')}});
  CHECK(answer.status == 431);
  CHECK(answer.outcome == "not-run");
  CHECK(answer.reason == "headers-too-large");
  CHECK(fixture.Call("GET", "/s/orders/1").status == 200);
  CHECK(backend.requests.size() == 1);
}

// Guards against callers that hold connections by sending a body too slowly.
TEST_CASE("a connection whose body does not arrive is closed") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewaySettings settings;
  settings.receive_timeout = std::chrono::milliseconds(100);
  GatewayFixture fixture(settings);
  fixture.AddWorker("vm-1", backend.Address());
  const RawCaller slow(fixture.port,
                       "PUT /s/orders/1 HTTP/1.1\r\nHost: a\r\n"
                       "Content-Length: 10\r\n\r\nab");
  CHECK(GatewayFixture::WaitFor([&] { return slow.IsClosed(); }));
  CHECK(fixture.Call("GET", "/s/orders/1").status == 200);
  CHECK(backend.requests.size() == 1);
}

// Guards against callers that use up the entry's file descriptors.
TEST_CASE("a connection above the limit is closed and others are served") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewaySettings settings;
  settings.max_caller_connections = 1;
  GatewayFixture fixture(settings);
  fixture.AddWorker("vm-1", backend.Address());
  REQUIRE(fixture.Call("GET", "/s/orders/1").status == 200);
  const RawCaller second(fixture.port, "");
  CHECK(GatewayFixture::WaitFor([&] { return second.IsClosed(); }));
  CHECK(fixture.Call("GET", "/s/orders/1").status == 200);
}

}  // namespace fireflythread
