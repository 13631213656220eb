#ifndef FIREFLYTHREAD_TELEMETRY_TRACE_RING_H_
#define FIREFLYTHREAD_TELEMETRY_TRACE_RING_H_

#include <cstddef>
#include <deque>
#include <string_view>
#include <vector>

#include "fireflythread/telemetry/span.h"

namespace fireflythread {

/// The last finished spans, for `GET /v1/traces/ID`. The oldest span goes when
/// the ring is full, so memory stays bounded.
class TraceRing {
 public:
  explicit TraceRing(std::size_t max_spans);

  auto Add(Span span) -> void;

  /// The spans of one trace that are still held, by start time.
  [[nodiscard]] auto Find(std::string_view trace_id) const -> std::vector<Span>;

  [[nodiscard]] auto size() const -> std::size_t;

 private:
  std::size_t max_spans;
  std::deque<Span> spans;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_TRACE_RING_H_
