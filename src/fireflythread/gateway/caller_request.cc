#include "fireflythread/gateway/caller_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace fireflythread {

namespace {

constexpr std::string_view kServicePrefix = "/s/";
constexpr std::size_t kMaxNameSize = 63;
constexpr std::size_t kMaxKeySize = 200;
constexpr int kMaxDeadlineMs = 30000;
constexpr int kMaxCores = 4096;
constexpr int kMaxMemoryMb = 64 * 1024 * 1024;

/// The header fields that the gateway itself reads.
struct KnownHeaders {
  const std::string* urgency = nullptr;
  const std::string* deadline = nullptr;
  const std::string* key = nullptr;
  const std::string* team = nullptr;
  const std::string* cores = nullptr;
  const std::string* memory = nullptr;
  const std::string* idempotent = nullptr;
  const std::string* traceparent = nullptr;
};

using Slot = const std::string* KnownHeaders::*;

struct KnownHeader {
  std::string_view name;
  Slot slot;
  /// Written anew by the gateway, so not passed on as received.
  bool rewritten;
};

constexpr std::array<KnownHeader, 8> kKnownHeaders = {{
    {"fireflythread-urgency", &KnownHeaders::urgency, false},
    {"fireflythread-deadline-ms", &KnownHeaders::deadline, true},
    {"idempotency-key", &KnownHeaders::key, false},
    {"fireflythread-team", &KnownHeaders::team, false},
    {"fireflythread-cores", &KnownHeaders::cores, false},
    {"fireflythread-memory-mb", &KnownHeaders::memory, false},
    {"idempotent", &KnownHeaders::idempotent, false},
    {"traceparent", &KnownHeaders::traceparent, true},
}};

/// Fields that tell the backend server about the gateway; a caller's own are
/// dropped.
auto IsGatewayHeader(std::string_view name) -> bool {
  static constexpr std::array<std::string_view, 3> kNames = {
      "fireflythread-request-id", "fireflythread-pool", "fireflythread-entry"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view known) {
    return EqualsIgnoreCase(known, name);
  });
}

auto Malformed(std::string detail) -> Refusal {
  return {RefusalReason::kMalformed, std::move(detail)};
}

/// Sorts the fields into those that are read here and those passed on. Names
/// the field that occurs twice, if any.
auto SortHeaders(const std::vector<HttpHeader>& headers,
                 KnownHeaders& known,
                 std::vector<HttpHeader>& passed_on) -> std::optional<Refusal> {
  for (const HttpHeader& header : headers) {
    const auto* match =
        std::find_if(kKnownHeaders.begin(), kKnownHeaders.end(),
                     [&](const KnownHeader& each) {
                       return EqualsIgnoreCase(each.name, header.name);
                     });
    if (match != kKnownHeaders.end()) {
      if (std::exchange(known.*(match->slot), &header.value) != nullptr) {
        return Malformed(fmt::format("{} occurs more than once", match->name));
      }
      if (match->rewritten) {
        continue;
      }
    }
    if (!IsConnectionHeader(header.name) && !IsGatewayHeader(header.name)) {
      passed_on.push_back(header);
    }
  }
  return std::nullopt;
}

auto IsName(std::string_view text) -> bool {
  return !text.empty() && text.size() <= kMaxNameSize &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                  (c >= 'A' && c <= 'Z') || c == '-' || c == '_' || c == '.';
         });
}

auto IsMethod(std::string_view text) -> bool {
  static constexpr std::array<std::string_view, 7> kMethods = {
      "GET", "HEAD", "PUT", "DELETE", "POST", "PATCH", "OPTIONS"};
  return std::find(kMethods.begin(), kMethods.end(), text) != kMethods.end();
}

auto IsKey(std::string_view text) -> bool {
  return !text.empty() && text.size() <= kMaxKeySize &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c < 0x7f; });
}

auto ParseInteger(std::string_view text, int low, int high)
    -> std::optional<int> {
  int value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, status] = std::from_chars(text.data(), end, value);
  if (status != std::errc() || stop != end || value < low || value > high) {
    return std::nullopt;
  }
  return value;
}

auto ParsePath(std::string_view path,
               std::string_view query,
               CallerRequest& request) -> std::optional<Refusal> {
  if (!path.starts_with(kServicePrefix)) {
    return Refusal{RefusalReason::kUnknownService, "path is not /s/{service}"};
  }
  path.remove_prefix(kServicePrefix.size());
  const std::size_t slash = path.find('/');
  const std::string_view name = path.substr(0, slash);
  if (!IsName(name)) {
    return Refusal{RefusalReason::kUnknownService, "malformed service name"};
  }
  request.service = ServiceName(std::string(name));
  request.target =
      slash == std::string_view::npos ? "/" : std::string(path.substr(slash));
  if (!query.empty()) {
    request.target.append("?").append(query);
  }
  return std::nullopt;
}

auto ParseUrgency(const std::string& text) -> std::optional<RequestClass> {
  for (const RequestClass each :
       {RequestClass::kCounter, RequestClass::kDeadline,
        RequestClass::kBatch}) {
    if (text == RequestClassName(each)) {
      return each;
    }
  }
  return std::nullopt;
}

auto ParseSize(const KnownHeaders& known, CallerRequest& request)
    -> std::optional<Refusal> {
  if (known.cores != nullptr) {
    const auto cores = ParseInteger(*known.cores, 0, kMaxCores);
    if (!cores) {
      return Malformed("Fireflythread-Cores is not a number of cores");
    }
    request.cores = *cores;
  }
  if (known.memory != nullptr) {
    const auto memory = ParseInteger(*known.memory, 0, kMaxMemoryMb);
    if (!memory) {
      return Malformed("Fireflythread-Memory-Mb is not a size in MB");
    }
    request.memory_mb = *memory;
  }
  return std::nullopt;
}

auto ParseUrgencyAndDeadline(const KnownHeaders& known, CallerRequest& request)
    -> std::optional<Refusal> {
  if (known.urgency != nullptr) {
    const auto value = ParseUrgency(*known.urgency);
    if (!value) {
      return Malformed("Fireflythread-Urgency is not counter, deadline, batch");
    }
    request.request_class = *value;
  }
  if (known.deadline != nullptr) {
    const auto milliseconds = ParseInteger(*known.deadline, 1, kMaxDeadlineMs);
    if (!milliseconds) {
      return Malformed("Fireflythread-Deadline-Ms is not in 1..30000");
    }
    request.deadline = std::chrono::milliseconds(*milliseconds);
  }
  return std::nullopt;
}

auto ParseRepetition(const KnownHeaders& known, CallerRequest& request)
    -> std::optional<Refusal> {
  static constexpr std::array<std::string_view, 4> kIdempotentMethods = {
      "GET", "HEAD", "PUT", "DELETE"};
  request.idempotent =
      std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                request.method) != kIdempotentMethods.end();
  if (known.idempotent != nullptr) {
    if (*known.idempotent != "true" && *known.idempotent != "false") {
      return Malformed("Idempotent is not true or false");
    }
    request.idempotent = request.idempotent || *known.idempotent == "true";
  }
  if (known.key != nullptr) {
    if (!IsKey(*known.key)) {
      return Malformed("Idempotency-Key is not 1..200 visible characters");
    }
    request.key = *known.key;
  } else if (!request.idempotent) {
    return Refusal{RefusalReason::kKeyMissing,
                   "a request that is not idempotent needs Idempotency-Key"};
  }
  return std::nullopt;
}

auto ParseTeam(const KnownHeaders& known, CallerRequest& request)
    -> std::optional<Refusal> {
  if (known.team == nullptr) {
    return std::nullopt;
  }
  if (!IsName(*known.team)) {
    return Malformed("Fireflythread-Team is not a team name");
  }
  request.team = TeamName(*known.team);
  return std::nullopt;
}

}  // namespace

auto ParseCallerRequest(std::string method,
                        std::string_view path,
                        std::string_view query,
                        const std::vector<HttpHeader>& headers)
    -> ParsedRequest {
  CallerRequest request;
  request.method = std::move(method);
  if (!IsMethod(request.method)) {
    return Malformed("unsupported method");
  }
  KnownHeaders known;
  if (auto fault = SortHeaders(headers, known, request.headers)) {
    return *fault;
  }
  if (auto fault = ParsePath(path, query, request)) {
    return *fault;
  }
  for (const auto check :
       {ParseUrgencyAndDeadline, ParseTeam, ParseSize, ParseRepetition}) {
    if (auto fault = check(known, request)) {
      return *fault;
    }
  }
  if (known.traceparent != nullptr) {
    request.traceparent = *known.traceparent;
  }
  return request;
}

}  // namespace fireflythread
