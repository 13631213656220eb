#ifndef FIREFLYTHREAD_GATEWAY_RESPONSE_READER_H_
#define FIREFLYTHREAD_GATEWAY_RESPONSE_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "fireflythread/gateway/backend_response.h"

namespace fireflythread {

/// Reads one HTTP/1.1 response (RFC 9112) from the bytes of a connection. It
/// is strict: an answer whose end is not marked by a length, by the last chunk
/// or by its status can be cut off unnoticed and is malformed.
class ResponseReader {
 public:
  enum class State : std::uint8_t { kMore, kComplete, kMalformed };

  static constexpr std::size_t kMaxHeadBytes = std::size_t{64} * 1024;

  explicit ResponseReader(std::size_t max_body_bytes);

  /// Prepares for the answer to the next request; `head_request` says that
  /// its method was HEAD, whose answer has no body.
  auto Start(bool head_request) -> void;

  /// Takes bytes in the order of arrival, any number at a time. Bytes beyond
  /// the end of the response belong to no request: the response stands, but
  /// the connection cannot be used again.
  auto Feed(std::string_view bytes) -> State;

  /// Moves the response out; only in kComplete.
  [[nodiscard]] auto TakeResponse() -> BackendResponse;

  /// True if the server lets the connection be used again.
  [[nodiscard]] auto CanReuse() const -> bool { return this->reusable; }
  [[nodiscard]] auto Error() const -> const std::string& { return this->error; }

 private:
  enum class Phase : std::uint8_t {
    kHead,
    kFixedBody,
    kChunkSize,
    kChunkData,
    kChunkEnd,
    kTrailer,
    kDone,
    kFailed
  };

  /// Each step consumes bytes of `buffer` and returns false when it needs
  /// more of them.
  auto Step() -> bool;
  auto ReadHead() -> bool;
  auto ReadFixedBody() -> bool;
  auto ReadChunkSize() -> bool;
  auto ReadChunkData() -> bool;
  auto ReadChunkEnd() -> bool;
  auto ReadTrailer() -> bool;
  auto ParseHead(std::string_view head) -> bool;
  auto ParseStatusLine(std::string_view line) -> bool;
  auto ParseField(std::string_view line) -> bool;
  auto ChooseBody() -> bool;
  auto Fail(std::string reason) -> bool;
  auto Rest() const -> std::string_view;

  std::size_t max_body_bytes;
  bool head_request = false;
  bool reusable = true;
  Phase phase = Phase::kHead;
  std::string buffer;
  std::size_t consumed = 0;
  std::uint64_t remaining = 0;
  BackendResponse response;
  std::string error;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_RESPONSE_READER_H_
