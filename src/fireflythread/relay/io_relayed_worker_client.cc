#include "fireflythread/relay/io_relayed_worker_client.h"

#include <chrono>
#include <optional>
#include <utility>
#include <variant>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/relay/io_order_codec.h"
#include "fireflythread/relay/io_relay_links.h"
#include "fireflythread/relay/relay_batching.h"
#include "fireflythread/relay/relay_peer_choice.h"

namespace fireflythread {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{50};

/// A tick that comes this long after the previous one shows that the main loop
/// was blocked. Received replies may still be unread then, so no order or relay
/// peer times out before the next tick.
constexpr milliseconds kLateTick{200};

constexpr const char* kCounterName = "fireflythread_relayed_orders_total";
constexpr const char* kCounterHelp = "Orders to workers by their way.";

/// Adapts the callback of a start or stop order, whose result is a reply and
/// never a report.
auto ToReportCallback(WorkerClient::OrderCallback callback)
    -> WorkerClient::ReportCallback {
  return [done = std::move(callback)](OrderResult result) -> void {
    if (auto* reply = std::get_if<OrderReply>(&result)) {
      done(std::move(*reply));
    } else {
      done({OrderVerdict::kUnknown, std::nullopt,
            "unexpected report in reply to a start or stop order"});
    }
  };
}

}  // namespace

RelayedWorkerClient::RelayedWorkerClient(RelayLinks& relay_links,
                                         WorkerClient& local_client,
                                         const Logger& log,
                                         MetricsRegistry& metrics)
    : links(relay_links),
      local(local_client),
      logger(log),
      relayed_count(metrics.GetCounter(kCounterName,
                                       kCounterHelp,
                                       {{"outcome", "relayed"}})),
      local_count(metrics.GetCounter(kCounterName,
                                     kCounterHelp,
                                     {{"outcome", "local"}})),
      unanswered_count(metrics.GetCounter(kCounterName,
                                          kCounterHelp,
                                          {{"outcome", "unanswered"}})),
      flush([this] { this->FlushAll(); }) {}

auto RelayedWorkerClient::Start(const StartCommand& start,
                                Duration timeout,
                                OrderCallback callback) -> void {
  this->Submit({start, timeout}, ToReportCallback(std::move(callback)));
}

auto RelayedWorkerClient::Stop(const StopCommand& stop,
                               Duration timeout,
                               OrderCallback callback) -> void {
  this->Submit({stop, timeout}, ToReportCallback(std::move(callback)));
}

auto RelayedWorkerClient::SetPace(const PaceCommand& pace,
                                  Duration timeout,
                                  OrderCallback callback) -> void {
  this->local.SetPace(pace, timeout, std::move(callback));
}

auto RelayedWorkerClient::Poll(const PollCommand& poll,
                               Duration timeout,
                               ReportCallback callback) -> void {
  this->Submit({poll, timeout}, std::move(callback));
}

auto RelayedWorkerClient::UseRelayPeers(
    const std::vector<RelayCandidate>& candidates) -> void {
  SetRelayPeers(this->peers, candidates);
  for (const auto& [id, relay_peer] : this->peers.peers) {
    if (relay_peer.selected) {
      this->links.Connect(RelayLinks::Role::kRelayPeer, id, relay_peer.address);
    }
  }
  this->UpdateTick();
}

auto RelayedWorkerClient::UpdateTick() -> void {
  // A relay peer with pending orders stays listed until they are answered.
  if (this->peers.peers.empty()) {
    this->tick.reset();
  } else if (!this->tick) {
    this->last_tick_at = ReadBootClock();
    this->tick =
        std::make_unique<PeriodicTimer>(kTickPeriod, [this] { this->Tick(); });
  }
}

auto RelayedWorkerClient::Submit(WorkerOrder order, ReportCallback callback)
    -> void {
  const RelayPeer* relay_peer =
      ChooseRelayPeer(this->peers, WorkerOf(order), ReadBootClock());
  if (relay_peer == nullptr) {
    this->SendLocally(order, std::move(callback));
  } else {
    this->AddToBatch(relay_peer->entry, std::move(order), std::move(callback));
  }
}

auto RelayedWorkerClient::AddToBatch(const EntryId& peer_id,
                                     WorkerOrder order,
                                     ReportCallback callback) -> void {
  peer::RelayedOrder message;
  EncodeOrder(order, message);
  const std::size_t bytes = message.ByteSizeLong();
  if (bytes > kMaxOrderBytes) {
    this->SendLocally(order, std::move(callback));
    return;
  }
  const std::uint64_t number = AddPending(
      this->pending,
      {peer_id, std::move(order), std::move(callback), ReadBootClock()});
  message.set_number(number);
  Batch& batch = this->batches[peer_id];
  *batch.envelope.mutable_order_batch()->add_orders() = std::move(message);
  batch.numbers.push_back(number);
  batch.bytes += bytes;
  if (batch.numbers.size() >= kMaxBatchCount || batch.bytes >= kMaxBatchBytes) {
    auto full = this->batches.extract(peer_id);
    this->Flush(full.key(), std::move(full.mapped()));
  } else {
    this->flush.Start(kBatchDelay);
  }
}

auto RelayedWorkerClient::FlushAll() -> void {
  auto open_batches = std::exchange(this->batches, {});
  for (auto& [peer_id, batch] : open_batches) {
    this->Flush(peer_id, std::move(batch));
  }
}

auto RelayedWorkerClient::Flush(const EntryId& peer_id, Batch batch) -> void {
  batch.envelope.mutable_order_batch()->set_number(++this->last_batch);
  batch.envelope.mutable_order_batch()->set_sent_at_ns(
      ReadBootClock().time_since_epoch().count());
  if (this->links.Send(peer_id, std::move(batch.envelope))) {
    return;
  }
  if (RecordSendFailure(this->peers, peer_id)) {
    this->LogClosed(peer_id, "no connection");
  }
  for (const std::uint64_t number : batch.numbers) {
    if (auto order = TakePending(this->pending, number, peer_id)) {
      this->SendLocally(order->order, std::move(order->callback));
    }
  }
}

auto RelayedWorkerClient::SendLocally(const WorkerOrder& order,
                                      ReportCallback callback) -> void {
  this->local_count.Add();
  PerformOrder(this->local, order, order.timeout, std::move(callback));
}

auto RelayedWorkerClient::HandleWelcome(const peer::Envelope& envelope)
    -> void {
  const peer::RelayWelcome& welcome = envelope.relay_welcome();
  if (welcome.owner_incarnation() != this->links.Incarnation()) {
    return;
  }
  const EntryId peer_id(envelope.sender());
  if (ApplyWelcome(this->peers, peer_id, envelope.incarnation(),
                   welcome.stopping(), ReadBootClock())) {
    this->logger.Info("relay", "relay_path_opened", {{"helper", peer_id}});
  }
}

auto RelayedWorkerClient::HandleReplies(const peer::Envelope& envelope)
    -> void {
  const peer::OrderReplyBatch& batch = envelope.order_reply_batch();
  if (batch.owner_incarnation() != this->links.Incarnation()) {
    return;
  }
  const EntryId peer_id(envelope.sender());
  const TimePoint now = ReadBootClock();
  RecordReplies(this->peers, peer_id, batch.stopping(), now);
  if (batch.busy() && RecordBusy(this->peers, peer_id, now)) {
    this->logger.Info("relay", "relay_path_busy", {{"helper", peer_id}});
  }
  for (const peer::RelayedAnswer& answer : batch.answers()) {
    this->HandleAnswer(peer_id, answer);
  }
}

auto RelayedWorkerClient::HandleAnswer(const EntryId& peer_id,
                                       const peer::RelayedAnswer& answer)
    -> void {
  auto order = TakePending(this->pending, answer.number(), peer_id);
  if (!order) {
    return;
  }
  if (answer.not_performed()) {
    this->SendLocally(order->order, std::move(order->callback));
    return;
  }
  this->relayed_count.Add();
  order->callback(DecodeResult(answer));
}

auto RelayedWorkerClient::Tick() -> void {
  const TimePoint now = ReadBootClock();
  const bool late = now - this->last_tick_at >= kLateTick;
  this->last_tick_at = now;
  this->SendHellos(now);
  if (late) {
    return;
  }
  this->ExpireOrders(now);
  for (const EntryId& peer_id : CloseUnresponsivePeers(this->peers, now)) {
    this->LogClosed(peer_id, "silent");
  }
  for (const EntryId& peer_id :
       RemoveUnselectedPeers(this->peers, this->pending)) {
    this->links.Disconnect(RelayLinks::Role::kRelayPeer, peer_id);
    this->LogClosed(peer_id, "not chosen");
  }
}

auto RelayedWorkerClient::SendHellos(TimePoint now) -> void {
  for (const EntryId& peer_id : CollectDueHellos(this->peers, now)) {
    peer::Envelope envelope;
    envelope.mutable_relay_hello()->set_address(this->links.Address());
    envelope.mutable_relay_hello()->set_sent_at_ns(
        now.time_since_epoch().count());
    // The result is ignored, because the hello is repeated until it is
    // answered.
    this->links.Send(peer_id, std::move(envelope));
  }
}

auto RelayedWorkerClient::ExpireOrders(TimePoint now) -> void {
  for (PendingOrder& order : TakeOverdue(this->pending, now)) {
    if (RecordUnanswered(this->peers, order.peer_id, order.sent_at, now)) {
      this->logger.Warning("relay", "relay_path_paused",
                           {{"helper", order.peer_id}});
    }
    this->unanswered_count.Add();
    order.callback(
        OrderReply{OrderVerdict::kUnknown, std::nullopt,
                   "no reply from relay peer " + order.peer_id.value});
  }
}

auto RelayedWorkerClient::LogClosed(const EntryId& peer_id, const char* reason)
    -> void {
  this->logger.Info("relay", "relay_path_closed",
                    {{"helper", peer_id}, {"reason", reason}});
}

}  // namespace fireflythread
