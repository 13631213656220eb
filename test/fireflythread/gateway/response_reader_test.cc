#include "fireflythread/gateway/response_reader.h"

#include <catch2/catch.hpp>

#include <string>
#include <string_view>

namespace fireflythread {

namespace {

using State = ResponseReader::State;

/// Feeds a response byte by byte.
auto FeedSlowly(ResponseReader& reader, std::string_view bytes) -> State {
  State state = State::kMore;
  for (std::size_t i = 0; i < bytes.size() && state == State::kMore; ++i) {
    state = reader.Feed(bytes.substr(i, 1));
  }
  return state;
}

auto Read(std::string_view bytes) -> State {
  ResponseReader reader(1024);
  reader.Start(false);
  return FeedSlowly(reader, bytes);
}

}  // namespace

// Guards against a body that is cut, merged or shifted by how the bytes
// arrive.
TEST_CASE("a response is read whole however its bytes arrive") {
  constexpr std::string_view kChunked =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nA:  b \r\n"
      "Transfer-Encoding: chunked\r\n\r\n4;x=y\r\nabcd\r\nA\r\n0123456789\r\n"
      "0\r\nT: u\r\n\r\n";
  for (const bool slowly : {true, false}) {
    ResponseReader reader(1024);
    reader.Start(false);
    REQUIRE((slowly ? FeedSlowly(reader, kChunked) : reader.Feed(kChunked)) ==
            State::kComplete);
    CHECK(reader.CanReuse());
    const BackendResponse response = reader.TakeResponse();
    CHECK(response.status == 200);
    CHECK(response.body == "abcd0123456789");
    CHECK(*FindHeader(response.headers, "a") == "b");
  }
}

// Guards against an answer that is taken for whole although its end is not
// marked, or marked in two ways that another reader may understand otherwise.
TEST_CASE("responses of uncertain extent are malformed") {
  for (const std::string_view bytes : {
           "HTTP/1.1 200 OK\r\n\r\n",
           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n"  // NOLINT: one text
           "Transfer-Encoding: chunked\r\n\r\n",
           "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
           "HTTP/1.1 200 OK\r\nContent-Length: 3, 3\r\n\r\n",
           "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n",
           "HTTP/1.1 200 OK\r\nBad Name: 1\r\n\r\n",
           "HTTP/1.1 200 OK\r\nA: b\r\n folded\r\n\r\n",
           "HTTP/1.1 2x0 OK\r\n\r\n",
           "HTTP/1.1 101 Switching\r\n\r\n",
           "HTTP/2 200 OK\r\n\r\n",
       }) {
    INFO(bytes);
    CHECK(Read(bytes) == State::kMalformed);
  }
  CHECK(Read("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab") == State::kMore);
  CHECK(Read("HTTP/1.1 204 No Content\r\n\r\n") == State::kComplete);
}

// Guards against bytes of another answer that are read as the answer to the
// next request on the connection.
TEST_CASE("a connection with bytes after the response is not used again") {
  ResponseReader reader(1024);
  reader.Start(false);
  CHECK(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1") ==
        State::kComplete);
  CHECK_FALSE(reader.CanReuse());
  reader.Start(true);
  CHECK(reader.Feed("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                    "Content-Length: 9\r\n\r\n") == State::kComplete);
  CHECK_FALSE(reader.CanReuse());
}

}  // namespace fireflythread
