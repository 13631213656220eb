#include "standin/common/digest.h"

#include <glib.h>

#include <array>

namespace fireflythread::standin {

auto Sha256Base64(const std::string& bytes) -> std::string {
  constexpr gsize kDigestBytes = 32;
  std::array<guint8, kDigestBytes> digest{};
  gsize size = digest.size();
  GChecksum* checksum = g_checksum_new(G_CHECKSUM_SHA256);
  g_checksum_update(checksum, reinterpret_cast<const guchar*>(bytes.data()),
                    static_cast<gssize>(bytes.size()));
  g_checksum_get_digest(checksum, digest.data(), &size);
  g_checksum_free(checksum);
  char* text = g_base64_encode(digest.data(), size);
  std::string result(text);
  g_free(text);
  return result;
}

}  // namespace fireflythread::standin
