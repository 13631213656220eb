#include "fireflythread/daemon/trace_collector.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "fireflythread/daemon/peer_message.h"
#include "fireflythread/daemon/span_message.h"
#include "fireflythread/telemetry/tracer.h"

namespace fireflythread {

TraceCollector::TraceCollector(const Tracer& own_tracer,
                               std::set<EntryId> all_peers,
                               Send send_message)
    : tracer(own_tracer),
      peers(std::move(all_peers)),
      send(std::move(send_message)) {}

auto TraceCollector::Find(const std::string& trace_id,
                          TimePoint now,
                          Callback callback) -> void {
  Search search{trace_id, now + kTimeout, this->peers,
                this->tracer.Find(trace_id), std::move(callback)};
  if (search.awaited.empty()) {
    End(std::move(search));
    return;
  }
  const std::uint64_t number = this->next_search++;
  this->searches.emplace(number, std::move(search));
  for (const EntryId& entry : this->peers) {
    peer::Envelope envelope;
    envelope.mutable_trace_request()->set_request(number);
    envelope.mutable_trace_request()->set_trace_id(trace_id);
    this->send(entry, std::move(envelope));
  }
}

auto TraceCollector::HandlePeer(const PeerMessage& message) -> void {
  if (message.envelope.has_trace_request()) {
    this->Answer(message.sender, message.envelope.trace_request());
  } else if (message.envelope.has_trace_reply()) {
    this->TakeReply(message.sender, message.envelope.trace_reply());
  }
}

auto TraceCollector::Answer(const EntryId& asker,
                            const peer::TraceRequest& request) -> void {
  peer::Envelope envelope;
  peer::TraceReply& reply = *envelope.mutable_trace_reply();
  reply.set_request(request.request());
  for (const Span& span : this->tracer.Find(request.trace_id())) {
    if (reply.spans_size() == kMostSpans) {
      break;
    }
    *reply.add_spans() = ToSpanMessage(span);
  }
  this->send(asker, std::move(envelope));
}

auto TraceCollector::TakeReply(const EntryId& sender,
                               const peer::TraceReply& reply) -> void {
  const auto found = this->searches.find(reply.request());
  // A duplicate of an answer must not add its spans twice.
  if (found == this->searches.end() ||
      found->second.awaited.erase(sender) == 0) {
    return;
  }
  Search& search = found->second;
  for (const peer::TraceSpan& message : reply.spans()) {
    std::optional<Span> span = FromSpanMessage(message, sender);
    if (span && span->trace_id == search.trace_id) {
      search.spans.push_back(std::move(*span));
    }
  }
  if (search.awaited.empty()) {
    Search ended = std::move(search);
    this->searches.erase(found);
    End(std::move(ended));
  }
}

auto TraceCollector::EndOverdue(TimePoint now) -> void {
  std::vector<Search> overdue;
  std::erase_if(this->searches, [&](auto& item) {
    const bool ends = now >= item.second.deadline;
    if (ends) {
      overdue.push_back(std::move(item.second));
    }
    return ends;
  });
  for (Search& search : overdue) {
    End(std::move(search));
  }
}

auto TraceCollector::End(Search search) -> void {
  std::ranges::stable_sort(search.spans, {}, &Span::start);
  search.callback({std::move(search.spans),
                   {search.awaited.begin(), search.awaited.end()}});
}

}  // namespace fireflythread
