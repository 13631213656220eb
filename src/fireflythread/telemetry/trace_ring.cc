#include "fireflythread/telemetry/trace_ring.h"

#include <algorithm>
#include <utility>

namespace fireflythread {

TraceRing::TraceRing(std::size_t span_limit) : max_spans(span_limit) {}

auto TraceRing::Add(Span span) -> void {
  if (this->max_spans == 0) {
    return;
  }
  if (this->spans.size() == this->max_spans) {
    this->spans.pop_front();
  }
  this->spans.push_back(std::move(span));
}

auto TraceRing::Find(std::string_view trace_id) const -> std::vector<Span> {
  std::vector<Span> found;
  std::ranges::copy_if(
      this->spans, std::back_inserter(found),
      [&](const Span& span) -> bool { return span.trace_id == trace_id; });
  std::ranges::stable_sort(found, {}, &Span::start);
  return found;
}

auto TraceRing::size() const -> std::size_t {
  return this->spans.size();
}

}  // namespace fireflythread
