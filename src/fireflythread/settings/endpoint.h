#ifndef FIREFLYTHREAD_SETTINGS_ENDPOINT_H_
#define FIREFLYTHREAD_SETTINGS_ENDPOINT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflythread {

/// An IP address and a TCP port. `host` is a numeric IPv4 or IPv6 address
/// without brackets; it is empty when the setting was not given.
struct Endpoint {
  std::string host;
  std::uint16_t port = 0;

  auto operator==(const Endpoint&) const -> bool = default;
};

/// Reads "127.0.0.1:7001" or "[::1]:7001". Host names are refused, because
/// the processes reach each other by IP address.
[[nodiscard]] auto ParseEndpoint(std::string_view text)
    -> std::optional<Endpoint>;

/// The form that ParseEndpoint() reads; empty for an endpoint not given.
[[nodiscard]] auto FormatEndpoint(const Endpoint& endpoint) -> std::string;

/// True for 127.0.0.0/8 and ::1.
[[nodiscard]] auto IsLoopback(const Endpoint& endpoint) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_ENDPOINT_H_
