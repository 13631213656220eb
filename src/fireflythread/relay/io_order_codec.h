#ifndef FIREFLYTHREAD_RELAY_IO_ORDER_CODEC_H_
#define FIREFLYTHREAD_RELAY_IO_ORDER_CODEC_H_

#include <optional>

#include "fireflythread/peer/generated/peer.pb.h"
#include "fireflythread/relay/worker_order.h"

namespace fireflythread {

/// Encodes an order into `message`. The caller sets the order's number.
auto EncodeOrder(const WorkerOrder& order, peer::RelayedOrder& message) -> void;

/// Decodes an order. Returns no value if the message has no command that this
/// version supports.
[[nodiscard]] auto DecodeOrder(const peer::RelayedOrder& message)
    -> std::optional<WorkerOrder>;

/// Encodes the result of an order into `message`. The caller sets the order's
/// number.
auto EncodeResult(const OrderResult& result, peer::RelayedAnswer& message)
    -> void;

/// Decodes the result of an order. Returns a reply with the verdict kUnknown if
/// this version cannot decode it. `message` must not be the answer to an order
/// that was not performed.
[[nodiscard]] auto DecodeResult(const peer::RelayedAnswer& message)
    -> OrderResult;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_IO_ORDER_CODEC_H_
