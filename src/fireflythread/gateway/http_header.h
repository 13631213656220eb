#ifndef FIREFLYTHREAD_GATEWAY_HTTP_HEADER_H_
#define FIREFLYTHREAD_GATEWAY_HTTP_HEADER_H_

#include <string>
#include <string_view>
#include <vector>

namespace fireflythread {

/// One header field as received.
struct HttpHeader {
  std::string name;
  std::string value;
};

/// Finds a field by its case-insensitive name; null when it is absent. The
/// first of several fields of the same name counts.
[[nodiscard]] auto FindHeader(const std::vector<HttpHeader>& headers,
                              std::string_view name) -> const std::string*;

/// Compares two ASCII texts without regard to case.
[[nodiscard]] auto EqualsIgnoreCase(std::string_view left,
                                    std::string_view right) -> bool;

/// True for a field that applies to one connection only, or that the gateway
/// writes itself, and so is not passed on.
[[nodiscard]] auto IsConnectionHeader(std::string_view name) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_HTTP_HEADER_H_
