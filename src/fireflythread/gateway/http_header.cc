#include "fireflythread/gateway/http_header.h"

#include <algorithm>
#include <array>

namespace fireflythread {

namespace {

auto ToLower(char value) -> char {
  return value >= 'A' && value <= 'Z' ? static_cast<char>(value + ('a' - 'A'))
                                      : value;
}

}  // namespace

auto EqualsIgnoreCase(std::string_view left, std::string_view right) -> bool {
  return left.size() == right.size() &&
         std::equal(left.begin(), left.end(), right.begin(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

auto FindHeader(const std::vector<HttpHeader>& headers, std::string_view name)
    -> const std::string* {
  for (const HttpHeader& header : headers) {
    if (EqualsIgnoreCase(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

auto IsConnectionHeader(std::string_view name) -> bool {
  static constexpr std::array<std::string_view, 13> kNames = {
      "connection",
      "keep-alive",
      "proxy-connection",
      "te",
      "trailer",
      "transfer-encoding",
      "upgrade",
      "proxy-authorization",
      "proxy-authenticate",
      "content-length",
      "host",
      "expect",
      "http2-settings"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view known) {
    return EqualsIgnoreCase(known, name);
  });
}

}  // namespace fireflythread
