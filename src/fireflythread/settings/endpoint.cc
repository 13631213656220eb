#include "fireflythread/settings/endpoint.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <charconv>

namespace fireflythread {
namespace {

auto IsAddress(const std::string& host, bool bracketed) -> bool {
  in6_addr buffer{};
  return inet_pton(bracketed ? AF_INET6 : AF_INET, host.c_str(), &buffer) == 1;
}

auto ParsePort(std::string_view text) -> std::optional<std::uint16_t> {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return port;
}

}  // namespace

auto ParseEndpoint(std::string_view text) -> std::optional<Endpoint> {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) {
    return std::nullopt;
  }
  std::string_view host = text.substr(0, colon);
  const bool bracketed =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  const auto port = ParsePort(text.substr(colon + 1));
  const std::string address(host);
  // inet_pton() stops at a null byte and would accept what follows it.
  const bool has_null = host.find('\0') != std::string_view::npos;
  if (!port || has_null || !IsAddress(address, bracketed)) {
    return std::nullopt;
  }
  return Endpoint{address, *port};
}

auto FormatEndpoint(const Endpoint& endpoint) -> std::string {
  if (endpoint.host.empty()) {
    return {};
  }
  const bool is_v6 = endpoint.host.find(':') != std::string::npos;
  return is_v6 ? fmt::format("[{}]:{}", endpoint.host, endpoint.port)
               : fmt::format("{}:{}", endpoint.host, endpoint.port);
}

auto IsLoopback(const Endpoint& endpoint) -> bool {
  return endpoint.host == "::1" || endpoint.host.starts_with("127.");
}

}  // namespace fireflythread
