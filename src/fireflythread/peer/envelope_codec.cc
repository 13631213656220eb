#include "fireflythread/peer/envelope_codec.h"

#include <google/protobuf/stubs/logging.h>

#include <limits>

namespace fireflythread {

auto ParseEnvelope(std::string_view bytes) -> std::optional<peer::Envelope> {
  // Protobuf would write a line to standard error for each damaged message,
  // which any stranger could use to flood the log.
  const google::protobuf::LogSilencer silencer;
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
