#include "fireflythread/daemon/trace_collector.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/daemon/peer_message.h"
#include "fireflythread/telemetry/tracer.h"

namespace fireflythread {
namespace {

const std::string kTrace = "4bf92f3577b34da6a3ce929d0e0e4736";
constexpr TimePoint kStart{std::chrono::seconds(100)};

/// Three entries whose messages are delivered at once, except to or from those
/// that are cut off.
class Cell {
 public:
  Cell() {
    for (const char* name : {"a", "b", "c"}) {
      const EntryId id(name);
      this->tracers[id] = std::make_unique<Tracer>(
          LogIdentity{id, ZoneName("zone-" + id.value)}, 100, nullptr);
    }
    for (const auto& [id, tracer] : this->tracers) {
      std::set<EntryId> peers;
      for (const auto& [other, unused] : this->tracers) {
        if (other != id) {
          peers.insert(other);
        }
      }
      this->collectors[id] = std::make_unique<TraceCollector>(
          *tracer, peers,
          [this, id = id](const EntryId& receiver, peer::Envelope envelope) {
            this->Deliver(id, receiver, envelope);
          });
    }
  }

  auto Record(const std::string& entry, const std::string& span_id, int start)
      -> void {
    Span span;
    span.start = WallTime(std::chrono::milliseconds(start));
    span.end = span.start + std::chrono::milliseconds(1);
    span.attributes = {
        {"pool", "counter-desk"}, {"number", 2}, {"hedge", true}};
    SpanContext context;
    context.trace_id = kTrace;
    context.span_id = span_id;
    context.sampled = true;
    this->tracers.at(EntryId(entry))->Finish(context, span);
  }

  auto Find(const std::string& entry) -> void {
    this->Of(entry).Find(kTrace, kStart, [this](admin::FoundTrace trace) {
      this->found = std::move(trace);
    });
  }

  auto Of(const std::string& entry) -> TraceCollector& {
    return *this->collectors.at(EntryId(entry));
  }

  std::optional<admin::FoundTrace> found;
  std::set<EntryId> cut_off;
  int copies = 1;

 private:
  auto Deliver(const EntryId& sender,
               const EntryId& receiver,
               const peer::Envelope& envelope) -> void {
    if (this->cut_off.contains(sender) || this->cut_off.contains(receiver)) {
      return;
    }
    for (int copy = 0; copy < this->copies; ++copy) {
      this->collectors.at(receiver)->HandlePeer({sender, 1, envelope});
    }
  }

  std::map<EntryId, std::unique_ptr<Tracer>> tracers;
  std::map<EntryId, std::unique_ptr<TraceCollector>> collectors;
};

auto SpanIds(const admin::FoundTrace& trace) -> std::vector<std::string> {
  std::vector<std::string> ids;
  for (const Span& span : trace.spans) {
    ids.push_back(span.span_id);
  }
  return ids;
}

}  // namespace

// Guards against a trace that misses the hops of the entries that were not
// asked, and against spans that are shown twice or lose their origin.
TEST_CASE("a trace has the spans of all entries once") {
  Cell cell;
  cell.copies = GENERATE(1, 2);
  cell.Record("c", "3", 30);
  cell.Record("a", "1", 10);
  cell.Record("b", "2", 20);
  cell.Find("a");
  REQUIRE(cell.found);
  CHECK(SpanIds(*cell.found) == std::vector<std::string>{"1", "2", "3"});
  CHECK(cell.found->silent.empty());
  const Span& last = cell.found->spans.back();
  CHECK(last.origin.entry == EntryId("c"));
  CHECK(last.origin.zone == ZoneName("zone-c"));
  REQUIRE(last.attributes.size() == 3);
  CHECK(last.attributes[0].value == LogField::Value("counter-desk"));
  CHECK(last.attributes[1].value == LogField::Value(std::int64_t{2}));
  CHECK(last.attributes[2].value == LogField::Value(true));
}

// Guards against an operator who waits for ever for an entry that is down, or
// who is not told that spans may be missing.
TEST_CASE("a silent entry is named after the timeout") {
  Cell cell;
  cell.cut_off = {EntryId("b")};
  cell.Record("a", "1", 10);
  cell.Record("b", "2", 20);
  cell.Find("a");
  cell.Of("a").EndOverdue(kStart + TraceCollector::kTimeout -
                          std::chrono::milliseconds(1));
  CHECK_FALSE(cell.found);
  cell.Of("a").EndOverdue(kStart + TraceCollector::kTimeout);
  REQUIRE(cell.found);
  CHECK(SpanIds(*cell.found) == std::vector<std::string>{"1"});
  CHECK(cell.found->silent == std::vector<EntryId>{EntryId("b")});
}

// Guards against a peer that sends spans of other traces or of no known kind.
TEST_CASE("spans that do not belong to the trace are left out") {
  Cell cell;
  cell.cut_off = {EntryId("b"), EntryId("c")};
  cell.Find("a");
  for (const char* name : {"b", "c"}) {
    PeerMessage message{EntryId(name), 1, {}};
    peer::TraceReply& reply = *message.envelope.mutable_trace_reply();
    reply.set_request(1);
    peer::TraceSpan& unknown_kind = *reply.add_spans();
    unknown_kind.set_trace_id(kTrace);
    unknown_kind.set_kind(9);
    peer::TraceSpan& backwards = *reply.add_spans();
    backwards.set_trace_id(kTrace);
    backwards.set_start_unix_nano(2);
    backwards.set_end_unix_nano(1);
    reply.add_spans()->set_trace_id("another");
    cell.Of("a").HandlePeer(message);
  }
  REQUIRE(cell.found);
  CHECK(cell.found->spans.empty());
}

}  // namespace fireflythread
