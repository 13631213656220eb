#ifndef FIREFLYTHREAD_RELAY_IO_ORDER_CODEC_H_
#define FIREFLYTHREAD_RELAY_IO_ORDER_CODEC_H_

#include <optional>

#include "fireflythread/peer/generated/peer.pb.h"
#include "fireflythread/relay/worker_order.h"

namespace fireflythread {

/// Writes an order, without its number.
auto EncodeOrder(const WorkerOrder& order, peer::RelayedOrder& message) -> void;

/// No value for a message without a command that this version knows.
[[nodiscard]] auto DecodeOrder(const peer::RelayedOrder& message)
    -> std::optional<WorkerOrder>;

/// Writes what came of an order, without its number.
auto EncodeResult(const OrderResult& result, peer::RelayedAnswer& message)
    -> void;

/// What this version cannot read becomes a reply of verdict kUnknown. An answer
/// of an order that was not performed must not be given.
[[nodiscard]] auto DecodeResult(const peer::RelayedAnswer& message)
    -> OrderResult;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_IO_ORDER_CODEC_H_
