#include "fireflythread/gateway/answer_check.h"

#include <glib.h>

#include <array>
#include <memory>
#include <utility>

namespace fireflythread {

namespace {

constexpr std::string_view kDigestStart = "sha-256=:";
constexpr gsize kSha256Bytes = 32;
constexpr int kServiceUnavailable = 503;

/// True if the field holds no SHA-256 digest or the right one.
auto DigestMatches(std::string_view field, std::string_view body) -> bool {
  const std::size_t begin = field.find(kDigestStart);
  if (begin == std::string_view::npos) {
    return true;
  }
  const std::string_view rest = field.substr(begin + kDigestStart.size());
  return rest.substr(0, rest.find(':')) == Sha256Base64(body);
}

}  // namespace

auto Sha256Base64(std::string_view text) -> std::string {
  const std::unique_ptr<GChecksum, decltype(&g_checksum_free)> checksum(
      g_checksum_new(G_CHECKSUM_SHA256), g_checksum_free);
  g_checksum_update(checksum.get(),
                    reinterpret_cast<const guchar*>(text.data()),
                    static_cast<gssize>(text.size()));
  std::array<guint8, kSha256Bytes> digest{};
  gsize size = digest.size();
  g_checksum_get_digest(checksum.get(), digest.data(), &size);
  const std::unique_ptr<gchar, decltype(&g_free)> encoded(
      g_base64_encode(digest.data(), size), g_free);
  return encoded.get();
}

auto CheckAnswer(const OutgoingRequest& request, BackendResponse response)
    -> AttemptReport {
  AttemptReport report;
  const std::string* id =
      FindHeader(response.headers, "Fireflythread-Request-Id");
  if (id != nullptr && !request.request_id.empty() &&
      *id != request.request_id) {
    report.reason = "answer to another request";
    return report;
  }
  const std::string* digest = FindHeader(response.headers, "Content-Digest");
  if (digest != nullptr && !request.head_request &&
      !DigestMatches(*digest, response.body)) {
    report.reason = "digest mismatch";
    return report;
  }
  const std::string* not_run = FindHeader(response.headers, "X-Not-Run");
  const bool refused = response.status == kServiceUnavailable &&
                       not_run != nullptr && *not_run == "1";
  report.result = refused ? AttemptResult::kRefused : AttemptResult::kAnswered;
  report.response = std::move(response);
  return report;
}

}  // namespace fireflythread
