#ifndef STANDIN_COMMON_HOST_PORT_H_
#define STANDIN_COMMON_HOST_PORT_H_

#include <cstdlib>
#include <string>

namespace fireflythread::standin {

/// The part of "host:port" before the colon.
[[nodiscard]] inline auto HostOf(const std::string& address) -> std::string {
  return address.substr(0, address.rfind(':'));
}

/// The port of "host:port"; 0 when there is none.
[[nodiscard]] inline auto PortOf(const std::string& address) -> int {
  const std::size_t colon = address.rfind(':');
  return colon == std::string::npos ? 0
                                    : std::atoi(address.c_str() + colon + 1);
}

}  // namespace fireflythread::standin

#endif  // STANDIN_COMMON_HOST_PORT_H_
