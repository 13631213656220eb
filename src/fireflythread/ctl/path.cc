#include "fireflythread/ctl/path.h"

#include <fmt/format.h>

namespace fireflythread::ctl {
namespace {

// The characters that RFC 3986 calls unreserved.
auto IsUnreserved(char c) -> bool {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

}  // namespace

auto Escape(std::string_view text) -> std::string {
  std::string escaped;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      escaped += c;
    } else {
      escaped += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
  }
  return escaped;
}

}  // namespace fireflythread::ctl
