#ifndef FIREFLYTHREAD_PEER_STATE_CODEC_H_
#define FIREFLYTHREAD_PEER_STATE_CODEC_H_

#include <optional>

#include "fireflythread/config/config_change.h"
#include "fireflythread/membership/ping_question.h"
#include "fireflythread/membership/pong_answer.h"
#include "fireflythread/membership/snapshot_offer.h"
#include "fireflythread/peer/generated/peer.pb.h"
#include "fireflythread/platform/row.h"

namespace fireflythread {

[[nodiscard]] auto ToMessage(const Row& row) -> peer::StateRow;
/// No value when the message lacks table, key or version or is a deletion.
[[nodiscard]] auto FromMessage(const peer::StateRow& message)
    -> std::optional<Row>;

[[nodiscard]] auto ToMessage(const PingQuestion& question) -> peer::Ping;
[[nodiscard]] auto FromMessage(const peer::Ping& message) -> PingQuestion;

[[nodiscard]] auto ToMessage(const PongAnswer& answer) -> peer::Pong;
[[nodiscard]] auto FromMessage(const peer::Pong& message) -> PongAnswer;

[[nodiscard]] auto ToMessage(const SnapshotOffer& offer) -> peer::SnapshotReply;
/// Malformed rows are left out, which makes the offer fail TakeOffer() if the
/// head row is one of them.
[[nodiscard]] auto FromMessage(const peer::SnapshotReply& message)
    -> SnapshotOffer;

/// A push of a change of the `config` table that leads to `to_version`.
[[nodiscard]] auto ToMessage(const ConfigChange& change,
                             std::uint64_t to_version) -> peer::StatePush;
/// No value for a push of another table or with a malformed row: a part of a
/// change must not be applied.
[[nodiscard]] auto FromMessage(const peer::StatePush& message)
    -> std::optional<ConfigChange>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PEER_STATE_CODEC_H_
