#include "fireflythread/gateway/response_reader.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace fireflythread {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::size_t kMaxChunkLine = 256;

auto ParseNumber(std::string_view text, int base)
    -> std::optional<std::uint64_t> {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, status] = std::from_chars(text.data(), end, value, base);
  if (text.empty() || status != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

auto Trim(std::string_view text) -> std::string_view {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

auto IsTokenCharacter(char value) -> bool {
  return (value >= '0' && value <= '9') || (value >= 'a' && value <= 'z') ||
         (value >= 'A' && value <= 'Z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(value) !=
             std::string_view::npos;
}

auto IsValueCharacter(char value) -> bool {
  const auto byte = static_cast<unsigned char>(value);
  return value == '\t' || (byte >= 0x20 && byte != 0x7f);
}

}  // namespace

ResponseReader::ResponseReader(std::size_t max_bytes)
    : max_body_bytes(max_bytes) {}

auto ResponseReader::Start(bool is_head_request) -> void {
  this->head_request = is_head_request;
  this->reusable = true;
  this->phase = Phase::kHead;
  this->buffer.clear();
  this->consumed = 0;
  this->remaining = 0;
  this->response = BackendResponse();
  this->error.clear();
}

auto ResponseReader::Feed(std::string_view bytes) -> State {
  this->buffer.append(bytes);
  while (this->phase != Phase::kDone && this->phase != Phase::kFailed &&
         this->Step()) {
  }
  if (this->phase == Phase::kDone && !this->Rest().empty()) {
    // They belong to no request, so the connection is out of step.
    this->reusable = false;
  }
  this->buffer.erase(0, this->consumed);
  this->consumed = 0;
  if (this->phase == Phase::kFailed) {
    return State::kMalformed;
  }
  return this->phase == Phase::kDone ? State::kComplete : State::kMore;
}

auto ResponseReader::TakeResponse() -> BackendResponse {
  return std::move(this->response);
}

auto ResponseReader::Step() -> bool {
  switch (this->phase) {
    case Phase::kHead:
      return this->ReadHead();
    case Phase::kFixedBody:
      return this->ReadFixedBody();
    case Phase::kChunkSize:
      return this->ReadChunkSize();
    case Phase::kChunkData:
      return this->ReadChunkData();
    case Phase::kChunkEnd:
      return this->ReadChunkEnd();
    case Phase::kTrailer:
      return this->ReadTrailer();
    case Phase::kDone:
    case Phase::kFailed:
      break;
  }
  return false;
}

auto ResponseReader::ReadHead() -> bool {
  const std::size_t end = this->Rest().find(kHeadEnd);
  if (end == std::string_view::npos || end > kMaxHeadBytes) {
    return this->Rest().size() > kMaxHeadBytes &&
           this->Fail("response head is too long");
  }
  const std::string head(this->Rest().substr(0, end));
  this->consumed += end + kHeadEnd.size();
  this->response = BackendResponse();
  if (!this->ParseHead(head)) {
    return false;
  }
  if (this->response.status >= 100 && this->response.status < 200) {
    // An interim response; the final one follows. 101 was never asked for.
    return this->response.status != 101 ||
           this->Fail("unexpected protocol switch");
  }
  return this->ChooseBody();
}

auto ResponseReader::ParseHead(std::string_view head) -> bool {
  std::size_t line_end = head.find(kLineEnd);
  if (!this->ParseStatusLine(head.substr(0, line_end))) {
    return false;
  }
  while (line_end != std::string_view::npos) {
    head.remove_prefix(line_end + kLineEnd.size());
    line_end = head.find(kLineEnd);
    if (!this->ParseField(head.substr(0, line_end))) {
      return false;
    }
  }
  return true;
}

auto ResponseReader::ParseStatusLine(std::string_view line) -> bool {
  constexpr std::size_t kStatusAt = 9;
  constexpr std::size_t kStatusEnd = 12;
  if (line.size() < kStatusEnd || !line.starts_with("HTTP/1.") ||
      (line[7] != '0' && line[7] != '1') || line[8] != ' ' ||
      (line.size() > kStatusEnd && line[kStatusEnd] != ' ')) {
    return this->Fail("malformed status line");
  }
  const auto status = ParseNumber(line.substr(kStatusAt, 3), 10);
  if (!status || *status < 100 || *status > 599) {
    return this->Fail("malformed status code");
  }
  this->response.status = static_cast<int>(*status);
  this->reusable = line[7] == '1';
  return true;
}

auto ResponseReader::ParseField(std::string_view line) -> bool {
  const std::size_t colon = line.find(':');
  if (colon == 0 || colon == std::string_view::npos ||
      !std::all_of(line.begin(), line.begin() + static_cast<long>(colon),
                   IsTokenCharacter)) {
    return this->Fail("malformed header field");
  }
  const std::string_view value = Trim(line.substr(colon + 1));
  if (!std::all_of(value.begin(), value.end(), IsValueCharacter)) {
    return this->Fail("control character in a header field");
  }
  this->response.headers.push_back(
      {std::string(line.substr(0, colon)), std::string(value)});
  return true;
}

auto ResponseReader::ChooseBody() -> bool {
  std::optional<std::uint64_t> length;
  bool chunked = false;
  for (const HttpHeader& header : this->response.headers) {
    if (EqualsIgnoreCase(header.name, "connection") &&
        EqualsIgnoreCase(header.value, "close")) {
      this->reusable = false;
    } else if (EqualsIgnoreCase(header.name, "transfer-encoding")) {
      if (chunked || !EqualsIgnoreCase(header.value, "chunked")) {
        return this->Fail("unsupported transfer encoding");
      }
      chunked = true;
    } else if (EqualsIgnoreCase(header.name, "content-length")) {
      const auto value = ParseNumber(header.value, 10);
      if (!value || (length && *length != *value)) {
        return this->Fail("malformed content length");
      }
      length = value;
    }
  }
  if (chunked && length) {
    return this->Fail("both a length and chunks");
  }
  const int status = this->response.status;
  if (this->head_request || status == 204 || status == 304) {
    this->phase = Phase::kDone;
    return true;
  }
  if (chunked) {
    this->phase = Phase::kChunkSize;
    return true;
  }
  if (!length) {
    return this->Fail("response without a marked end");
  }
  if (*length > this->max_body_bytes) {
    return this->Fail("response body is too large");
  }
  this->remaining = *length;
  this->response.body.reserve(*length);
  this->phase = this->remaining == 0 ? Phase::kDone : Phase::kFixedBody;
  return true;
}

auto ResponseReader::ReadFixedBody() -> bool {
  const std::string_view part =
      this->Rest().substr(0, static_cast<std::size_t>(this->remaining));
  this->response.body.append(part);
  this->consumed += part.size();
  this->remaining -= part.size();
  if (this->remaining > 0) {
    return false;
  }
  this->phase = Phase::kDone;
  return true;
}

auto ResponseReader::ReadChunkSize() -> bool {
  const std::size_t end = this->Rest().find(kLineEnd);
  if (end == std::string_view::npos) {
    return this->Rest().size() > kMaxChunkLine &&
           this->Fail("chunk line is too long");
  }
  std::string_view line = this->Rest().substr(0, end);
  line = Trim(line.substr(0, line.find(';')));
  const auto size = ParseNumber(line, 16);
  this->consumed += end + kLineEnd.size();
  if (!size) {
    return this->Fail("malformed chunk size");
  }
  if (*size > this->max_body_bytes - this->response.body.size()) {
    return this->Fail("response body is too large");
  }
  this->remaining = *size;
  this->phase = *size == 0 ? Phase::kTrailer : Phase::kChunkData;
  return true;
}

auto ResponseReader::ReadChunkData() -> bool {
  if (!this->ReadFixedBody()) {
    return false;
  }
  this->phase = Phase::kChunkEnd;
  return true;
}

auto ResponseReader::ReadChunkEnd() -> bool {
  if (this->Rest().size() < kLineEnd.size()) {
    return false;
  }
  if (!this->Rest().starts_with(kLineEnd)) {
    return this->Fail("chunk is longer than its size");
  }
  this->consumed += kLineEnd.size();
  this->phase = Phase::kChunkSize;
  return true;
}

auto ResponseReader::ReadTrailer() -> bool {
  const std::size_t end = this->Rest().find(kLineEnd);
  if (end == std::string_view::npos) {
    return this->Rest().size() > kMaxHeadBytes &&
           this->Fail("trailer is too long");
  }
  this->consumed += end + kLineEnd.size();
  if (end == 0) {
    this->phase = Phase::kDone;
  }
  return true;
}

auto ResponseReader::Fail(std::string reason) -> bool {
  this->phase = Phase::kFailed;
  this->error = std::move(reason);
  return false;
}

auto ResponseReader::Rest() const -> std::string_view {
  return std::string_view(this->buffer).substr(this->consumed);
}

}  // namespace fireflythread
