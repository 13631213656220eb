#ifndef FIREFLYTHREAD_DAEMON_TRACE_COLLECTOR_H_
#define FIREFLYTHREAD_DAEMON_TRACE_COLLECTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fireflythread/admin/found_trace.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/peer/generated/peer.pb.h"

namespace fireflythread {

class Tracer;
struct PeerMessage;

/// Collects the spans of a trace from all entries of the cell. A request that a
/// caller repeated through another entry has spans at both.
class TraceCollector {
 public:
  using Callback = std::function<void(admin::FoundTrace)>;
  using Send = std::function<void(const EntryId&, peer::Envelope)>;

  /// How long to wait for the peers' answers.
  static constexpr std::chrono::milliseconds kTimeout{700};
  /// Spans that one entry sends for a trace; further ones are left out.
  static constexpr int kMostSpans = 1000;

  TraceCollector(const Tracer& tracer, std::set<EntryId> peers, Send send);

  /// Calls back once all peers have answered, or after the timeout.
  auto Find(const std::string& trace_id, TimePoint now, Callback callback)
      -> void;

  /// Takes a TraceRequest or a TraceReply.
  auto HandlePeer(const PeerMessage& message) -> void;

  /// Ends the searches whose time has passed; to be called on a timer.
  auto EndOverdue(TimePoint now) -> void;

 private:
  struct Search {
    std::string trace_id;
    TimePoint deadline;
    /// Peers that have not answered.
    std::set<EntryId> awaited;
    std::vector<Span> spans;
    Callback callback;
  };

  auto Answer(const EntryId& asker, const peer::TraceRequest& request) -> void;
  auto TakeReply(const EntryId& sender, const peer::TraceReply& reply) -> void;
  static auto End(Search search) -> void;

  const Tracer& tracer;
  std::set<EntryId> peers;
  Send send;
  std::uint64_t next_search = 1;
  std::map<std::uint64_t, Search> searches;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_TRACE_COLLECTOR_H_
