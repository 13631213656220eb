#ifndef FIREFLYTHREAD_DAEMON_SPAN_MESSAGE_H_
#define FIREFLYTHREAD_DAEMON_SPAN_MESSAGE_H_

#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/peer/generated/peer.pb.h"
#include "fireflythread/telemetry/span.h"

namespace fireflythread {

/// The message for a span. The entry is left out: it is the message's sender.
[[nodiscard]] auto ToSpanMessage(const Span& span) -> peer::TraceSpan;

/// The span that an entry sent; no value when its kind is unknown or it ends
/// before it starts. Attributes without a value are left out.
[[nodiscard]] auto FromSpanMessage(const peer::TraceSpan& message,
                                   const EntryId& sender)
    -> std::optional<Span>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_SPAN_MESSAGE_H_
