#include "fireflythread/peer/envelope_codec.h"

#include <limits>

namespace fireflythread {

auto ParseEnvelope(std::string_view bytes) -> std::optional<peer::Envelope> {
  peer::Envelope envelope;
  if (bytes.size() > std::numeric_limits<int>::max() ||
      !envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      envelope.sender().empty() ||
      envelope.body_case() == peer::Envelope::BODY_NOT_SET) {
    return std::nullopt;
  }
  return envelope;
}

}  // namespace fireflythread
