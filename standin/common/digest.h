#ifndef STANDIN_COMMON_DIGEST_H_
#define STANDIN_COMMON_DIGEST_H_

#include <string>

namespace fireflythread::standin {

/// The SHA-256 of the bytes, in base64.
[[nodiscard]] auto Sha256Base64(const std::string& bytes) -> std::string;

}  // namespace fireflythread::standin

#endif  // STANDIN_COMMON_DIGEST_H_
