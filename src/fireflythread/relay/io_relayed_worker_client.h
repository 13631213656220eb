#ifndef FIREFLYTHREAD_RELAY_IO_RELAYED_WORKER_CLIENT_H_
#define FIREFLYTHREAD_RELAY_IO_RELAYED_WORKER_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "fireflythread/base/io_periodic_timer.h"
#include "fireflythread/base/time.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/peer/generated/peer.pb.h"
#include "fireflythread/platform/worker_client.h"
#include "fireflythread/relay/fwd.h"
#include "fireflythread/relay/pending_orders.h"
#include "fireflythread/relay/relay_peers.h"
#include "fireflythread/telemetry/counter.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"

namespace fireflythread {

/// Sends a shard's orders to workers through other entries, the relay peers. An
/// order goes to one relay peer, or to the local client if no relay peer is
/// usable. An order is sent again only if it cannot have been performed: it
/// did not leave the process, or the relay peer returned it.
class RelayedWorkerClient : public WorkerClient {
 public:
  RelayedWorkerClient(RelayLinks& links,
                      WorkerClient& local,
                      const Logger& logger,
                      MetricsRegistry& metrics);

  auto Start(const StartCommand& start,
             Duration timeout,
             OrderCallback callback) -> void override;
  auto Stop(const StopCommand& stop, Duration timeout, OrderCallback callback)
      -> void override;
  /// Always sends the order through the local client.
  auto SetPace(const PaceCommand& pace,
               Duration timeout,
               OrderCallback callback) -> void override;
  auto Poll(const PollCommand& poll, Duration timeout, ReportCallback callback)
      -> void override;

  /// Sets the relay peers. The connection to an entry that is no longer listed
  /// closes once its pending orders are answered or have timed out.
  auto UseRelayPeers(const std::vector<RelayCandidate>& candidates) -> void;

  /// Handles a RelayWelcome.
  auto HandleWelcome(const peer::Envelope& envelope) -> void;
  /// Handles an OrderReplyBatch.
  auto HandleReplies(const peer::Envelope& envelope) -> void;

 private:
  /// Orders that will be sent to one relay peer in one message.
  struct Batch {
    peer::Envelope envelope;
    std::vector<std::uint64_t> numbers;
    std::size_t bytes = 0;
  };

  auto Submit(WorkerOrder order, ReportCallback callback) -> void;
  auto AddToBatch(const EntryId& peer_id,
                  WorkerOrder order,
                  ReportCallback callback) -> void;
  auto FlushAll() -> void;
  auto Flush(const EntryId& peer_id, Batch batch) -> void;
  auto SendLocally(const WorkerOrder& order, ReportCallback callback) -> void;
  auto HandleAnswer(const EntryId& peer_id, const peer::RelayedAnswer& answer)
      -> void;
  /// Starts or stops the ticks, which are needed while there are relay peers.
  auto UpdateTick() -> void;
  auto Tick() -> void;
  auto SendHellos(TimePoint now) -> void;
  auto ExpireOrders(TimePoint now) -> void;
  auto LogClosed(const EntryId& peer_id, const char* reason) -> void;

  RelayLinks& links;
  WorkerClient& local;
  const Logger& logger;
  Counter& relayed_count;
  Counter& local_count;
  Counter& unanswered_count;
  RelayPeers peers;
  PendingOrders pending;
  std::map<EntryId, Batch> batches;
  std::uint64_t last_batch = 0;
  TimePoint last_tick_at;
  OneShotTimer flush;
  /// Runs only while there are relay peers.
  std::unique_ptr<PeriodicTimer> tick;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_IO_RELAYED_WORKER_CLIENT_H_
