#ifndef FIREFLYTHREAD_PEER_ENVELOPE_CODEC_H_
#define FIREFLYTHREAD_PEER_ENVELOPE_CODEC_H_

#include <optional>
#include <string_view>

#include "fireflythread/peer/generated/peer.pb.h"

namespace fireflythread {

/// Reads one message. No value when it is not an envelope, has no sender or no
/// body that this version knows.
[[nodiscard]] auto ParseEnvelope(std::string_view bytes)
    -> std::optional<peer::Envelope>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PEER_ENVELOPE_CODEC_H_
