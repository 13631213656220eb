#include "fireflythread/admin/admin_server.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <vector>

#include "test/fireflythread/admin/server_fixture.h"

namespace fireflythread::admin {

using namespace std::chrono_literals;
using Catch::Contains;
using test::ServerFixture;

// Guards against readers without a token, and against a server that one such
// request stops.
TEST_CASE("a wrong token gets 401 and the server goes on serving") {
  ServerFixture fixture;
  for (const char* token :
       {"", "wrong", "view-token-012345678", "view-token-01234567890"}) {
    const std::string response = fixture.Get("/v1/status", token);
    CHECK_THAT(response, Contains("HTTP/1.1 401"));
    CHECK_THAT(response, Contains("WWW-Authenticate: Bearer"));
    CHECK_THAT(response, Contains("\"code\":\"unauthorized\""));
  }
  CHECK_THAT(fixture.Get("/v1/status"), Contains("HTTP/1.1 200"));
}

// Guards against an edit that a reader of the system could make.
TEST_CASE("the role view cannot edit") {
  ServerFixture fixture;
  const std::string put =
      "PUT /v1/profiles/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "If-Match: 0\r\nContent-Length: 2\r\nAuthorization: Bearer ";
  CHECK_THAT(fixture.Exchange(put + test::kViewToken + "\r\n\r\n{}"),
             Contains("HTTP/1.1 403"));
  CHECK(fixture.backend.edits.empty());
  CHECK_THAT(fixture.Exchange(put + test::kEditToken + "\r\n\r\n{}"),
             Contains("HTTP/1.1 200"));
  REQUIRE(fixture.backend.edits.size() == 1);
  CHECK(fixture.backend.edits[0].who == "ada");
}

// Guards against a client that fills the server's memory.
TEST_CASE("oversized bodies and headers are refused") {
  AdminServerOptions options;
  options.max_body = 1000;
  options.max_headers = 2000;
  ServerFixture fixture(options);
  const std::string head =
      "PUT /v1/profiles/a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "If-Match: 0\r\nAuthorization: Bearer " +
      std::string(test::kEditToken) + "\r\n";
  const std::string stated = fixture.Exchange(
      head + "Content-Length: 1001\r\n\r\n" + std::string(1001, ' '));
  CHECK_THAT(stated, Contains("HTTP/1.1 413"));
  CHECK_THAT(stated, Contains("the body has more than 1000 bytes"));
  const std::string chunk = "1f4\r\n" + std::string(500, ' ') + "\r\n";
  CHECK_THAT(fixture.Exchange(head + "Transfer-Encoding: chunked\r\n\r\n" +
                              chunk + chunk + chunk + "0\r\n\r\n"),
             Contains("HTTP/1.1 413"));
  CHECK_THAT(fixture.Exchange(head + "X: " + std::string(2000, 'x') +
                              "\r\nContent-Length: 2\r\n\r\n{}"),
             Contains("HTTP/1.1 431"));
  CHECK(fixture.backend.edits.empty());
  CHECK_THAT(fixture.Exchange(head + "Content-Length: 1000\r\n\r\n{}" +
                              std::string(998, ' ')),
             Contains("HTTP/1.1 200"));
}

// Guards against clients that hold connections with requests they never end.
TEST_CASE("slow requests are ended with 408 and the server goes on serving") {
  AdminServerOptions options;
  options.receive_timeout = 50ms;
  ServerFixture fixture(options);
  const std::string half = "GET /v1/status HTTP/1.1\r\nHost: a\r\n";
  CHECK_THAT(fixture.Exchange(half), Contains("HTTP/1.1 408"));
  CHECK_THAT(fixture.Exchange("PUT /v1/profiles/a HTTP/1.1\r\nHost: a\r\n"
                              "Content-Length: 100\r\n\r\nhalf"),
             Contains("HTTP/1.1 408"));
  CHECK_THAT(fixture.Exchange(""), Contains("HTTP/1.1 408"));
  CHECK_THAT(fixture.Get("/v1/status"), Contains("HTTP/1.1 200"));
}

// Guards against a client that takes up all file descriptors.
TEST_CASE("connections above the limit are refused until others close") {
  AdminServerOptions options;
  options.max_connections = 2;
  ServerFixture fixture(options);
  std::string refused;
  test::Serve([&] {
    std::vector<test::RawClient> clients;
    // Connections are accepted in the order in which they were made.
    clients.emplace_back(fixture.server.Port());
    clients.emplace_back(fixture.server.Port());
    test::RawClient third(fixture.server.Port());
    third.Send("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n");
    refused = third.ReadAll();
  });
  CHECK_THAT(refused, Contains("HTTP/1.1 503"));
  CHECK_THAT(refused, Contains("too_many_connections"));
  std::string later;
  for (int i = 0; i < 100 && later.find(" 200 ") == std::string::npos; ++i) {
    later = fixture.Get("/healthz");
  }
  CHECK_THAT(later, Contains("HTTP/1.1 200"));
}

// Guards against a load balancer that sends callers to an entry which does not
// serve, or probes that need a token.
TEST_CASE("readiness tells the states apart without a token") {
  ServerFixture fixture;
  CHECK_THAT(fixture.Get("/readyz", ""), Contains("HTTP/1.1 200"));
  using State = Readiness::State;
  for (const auto& [state, name] : {std::pair(State::kStarting, "starting"),
                                    std::pair(State::kStopping, "stopping"),
                                    std::pair(State::kCutOff, "cut_off")}) {
    fixture.backend.readiness = Readiness{state, "no quorum"};
    const std::string response = fixture.Get("/readyz", "");
    CHECK_THAT(response, Contains("HTTP/1.1 503"));
    CHECK_THAT(response, Contains("\"state\":\"" + std::string(name) + "\""));
    CHECK_THAT(response, Contains("no quorum"));
  }
  CHECK_THAT(fixture.Get("/healthz", ""), Contains("HTTP/1.1 200"));
  CHECK_THAT(fixture.Get("/metrics", ""), Contains("\r\n\r\nup 1\n"));
}

// Guards against a use of a request whose client or server has gone.
TEST_CASE("an answer after the client or the server has gone is dropped") {
  auto fixture = std::make_unique<ServerFixture>();
  fixture->backend.hold = true;
  const std::string put =
      "PUT /v1/profiles/a HTTP/1.1\r\nHost: a\r\nIf-Match: 0\r\n"
      "Content-Length: 2\r\nAuthorization: Bearer " +
      std::string(test::kEditToken) + "\r\n\r\n{}";
  const auto wait_for_edits = [&](std::size_t count) {
    while (fixture->backend.edits.size() < count) {
      g_main_context_iteration(nullptr, TRUE);
    }
  };
  {
    test::RawClient gone(fixture->server.Port());
    gone.Send(put);
    wait_for_edits(1);
  }
  fixture->backend.Release();
  CHECK_THAT(fixture->Get("/healthz"), Contains("HTTP/1.1 200"));
  test::RawClient second(fixture->server.Port());
  second.Send(put);
  wait_for_edits(2);
  fixture->server.Stop();
  fixture->backend.Release();
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
  fixture.reset();
}

// Guards against operators who wait for an edit whose result the store does
// not tell.
TEST_CASE("a backend that takes too long ends with 504") {
  AdminServerOptions options;
  options.response_timeout = 50ms;
  ServerFixture fixture(options);
  fixture.backend.hold = true;
  const std::string response = fixture.Exchange(
      "PUT /v1/profiles/a HTTP/1.1\r\nHost: a\r\nIf-Match: 0\r\n"
      "Content-Length: 2\r\nAuthorization: Bearer " +
      std::string(test::kEditToken) + "\r\n\r\n{}");
  CHECK_THAT(response, Contains("HTTP/1.1 504") && Contains("unknown_result"));
  fixture.backend.Release();
  CHECK_THAT(fixture.Get("/healthz"), Contains("HTTP/1.1 200"));
}

// Guards against a daemon that ends without a word when its port is taken.
TEST_CASE("a listener that cannot open says why") {
  ServerFixture first;
  AdminServerOptions options;
  options.listen = Endpoint{"127.0.0.1", first.server.Port()};
  AdminServer second(options, test::Tokens(), first.backend, first.logger);
  CHECK_THAT(second.Start().value_or(""), Contains("127.0.0.1"));
  options.tls_certificate = "/nonexistent.crt";
  options.tls_key = "/nonexistent.key";
  AdminServer third(options, test::Tokens(), first.backend, first.logger);
  CHECK_THAT(third.Start().value_or(""), Contains("/nonexistent.crt"));
}

}  // namespace fireflythread::admin
