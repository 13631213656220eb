#include "fireflythread/relay/io_order_relay.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/relay/io_order_codec.h"
#include "fireflythread/relay/io_relay_links.h"
#include "fireflythread/relay/queue_wait.h"
#include "fireflythread/relay/relay_batching.h"
#include "fireflythread/settings/endpoint.h"

namespace fireflythread {
namespace {

/// Orders performed per dispatch of the main loop, before other sources are
/// dispatched. Calls to workers are the loop's most expensive work, and an
/// entry may have only an eighth of a core.
constexpr int kOrdersPerDispatch = 8;

/// Upper limit on queued orders; further orders are returned to their owners
/// without being performed. It bounds a burst. At a slow relay peer,
/// kMaxQueueWait returns orders before the queue reaches this limit.
constexpr std::size_t kMaxQueueLength = 512;

/// An owner sends a hello once a second. An owner that has sent nothing for
/// this long has ended or no longer owns a shard.
constexpr std::chrono::seconds kOwnerTimeout{30};

/// Period at which the owners are checked for kOwnerTimeout.
constexpr std::chrono::milliseconds kOwnerCheckPeriod{1000};

/// Upper limit on the number of owners, because each of them uses a socket. A
/// cell has fewer entries than this.
constexpr std::size_t kMaxOwners = 128;

/// Upper limit of the time at which a message says that it was sent. Clocks
/// start at zero with their machine; a later time would be an error and could
/// overflow.
constexpr std::chrono::nanoseconds kMaxSentAt = std::chrono::hours(24 * 365);

/// Returns how much longer than usual a message of an owner was under way, and
/// zero for a message that doesn't say when it was sent.
auto TransitDelayOf(TransitDelay& transit,
                    std::int64_t sent_at_ns,
                    TimePoint now) -> Duration {
  if (sent_at_ns <= 0 || sent_at_ns > kMaxSentAt.count()) {
    return Duration(0);
  }
  const TimePoint sent_at{std::chrono::nanoseconds(sent_at_ns)};
  return RecordTransit(transit, sent_at, now);
}

}  // namespace

OrderRelay::OrderRelay(RelayLinks& relay_links, WorkerClient& local_client)
    : links(relay_links),
      local(local_client),
      flush([this] { this->FlushAll(); }),
      owner_check(kOwnerCheckPeriod,
                  [this] { this->RemoveUnresponsiveOwners(); }) {}

OrderRelay::~OrderRelay() {
  if (this->idle_source != 0) {
    g_source_remove(this->idle_source);
  }
}

auto OrderRelay::HandleHello(const peer::Envelope& envelope) -> void {
  const EntryId owner(envelope.sender());
  if (!this->Admit(owner, envelope)) {
    return;
  }
  peer::Envelope answer;
  answer.mutable_relay_welcome()->set_owner_incarnation(envelope.incarnation());
  answer.mutable_relay_welcome()->set_stopping(this->stopping);
  // The first answer is lost because there is no connection to the owner yet.
  // The owner repeats its hello until it is answered.
  this->links.Send(owner, std::move(answer));
}

auto OrderRelay::Admit(const EntryId& owner_id, const peer::Envelope& envelope)
    -> bool {
  const std::string& address = envelope.relay_hello().address();
  const bool known = this->owners.contains(owner_id);
  if (!ParseEndpoint(address) ||
      (!known && this->owners.size() >= kMaxOwners)) {
    return false;
  }
  Owner& owner = this->owners[owner_id];
  this->links.Connect(RelayLinks::Role::kOwner, owner_id, address);
  if (owner.incarnation != envelope.incarnation()) {
    if (known) {
      this->links.Reconnect(owner_id);
    }
    owner = Owner{};
    owner.incarnation = envelope.incarnation();
  }
  const TimePoint now = ReadBootClock();
  owner.last_message_at = now;
  (void)TransitDelayOf(owner.transit, envelope.relay_hello().sent_at_ns(), now);
  return true;
}

auto OrderRelay::HandleOrders(const peer::Envelope& envelope) -> void {
  const EntryId owner_id(envelope.sender());
  const auto owner = this->owners.find(owner_id);
  const peer::OrderBatch& batch = envelope.order_batch();
  // A batch that arrives twice, or late over a connection that has been
  // replaced, must not be performed.
  if (owner == this->owners.end() ||
      owner->second.incarnation != envelope.incarnation() ||
      batch.number() <= owner->second.last_batch) {
    return;
  }
  owner->second.last_batch = batch.number();
  const TimePoint now = ReadBootClock();
  owner->second.last_message_at = now;
  const Duration delay =
      TransitDelayOf(owner->second.transit, batch.sent_at_ns(), now);
  for (const peer::RelayedOrder& order : batch.orders()) {
    this->Enqueue({owner_id, envelope.incarnation(), order.number()}, order,
                  delay);
  }
}

auto OrderRelay::Enqueue(const Origin& origin,
                         const peer::RelayedOrder& message,
                         Duration delay) -> void {
  auto order = DecodeOrder(message);
  // An order that waited in the socket of a paused process may have been given
  // up, and another entry may own its shard by now.
  if (!order || this->stopping ||
      (delay > Duration(0) && delay >= order->timeout)) {
    this->Refuse(origin);
    return;
  }
  order->timeout -= delay;
  if (this->queue.size() >= kMaxQueueLength) {
    this->RefuseAsBusy(origin);
    return;
  }
  this->queue.push_back({origin, *std::move(order), ReadBootClock()});
  if (this->idle_source == 0) {
    this->idle_source =
        g_idle_add_full(G_PRIORITY_DEFAULT, &OrderRelay::OnIdle, this, nullptr);
  }
}

auto OrderRelay::OnIdle(gpointer data) -> gboolean {
  auto* relay = static_cast<OrderRelay*>(data);
  relay->PerformQueued();
  if (!relay->queue.empty()) {
    return G_SOURCE_CONTINUE;
  }
  relay->idle_source = 0;
  return G_SOURCE_REMOVE;
}

auto OrderRelay::PerformQueued() -> void {
  for (int i = 0; i < kOrdersPerDispatch && !this->queue.empty(); ++i) {
    QueuedOrder queued = std::move(this->queue.front());
    this->queue.pop_front();
    this->Perform(std::move(queued));
  }
}

auto OrderRelay::Perform(QueuedOrder queued) -> void {
  const Duration waited = ReadBootClock() - queued.arrived_at;
  const auto order = DeductQueueWait(std::move(queued.order), waited);
  if (!order) {
    // A reply with kNotSent would make the owner conclude that the worker is
    // gone.
    this->RefuseAsBusy(queued.origin);
    return;
  }
  ++this->in_progress;
  PerformOrder(this->local, *order, order->timeout,
               this->alive.Guard(
                   [this, origin = queued.origin](const OrderResult& result) {
                     --this->in_progress;
                     this->Answer(origin, result);
                   }));
}

auto OrderRelay::Refuse(const Origin& origin) -> void {
  if (Owner* owner = this->FindOwner(origin)) {
    peer::RelayedAnswer answer;
    answer.set_number(origin.number);
    answer.set_not_performed(true);
    this->AddToBatch(origin.owner, *owner, std::move(answer));
  }
}

auto OrderRelay::RefuseAsBusy(const Origin& origin) -> void {
  if (Owner* owner = this->FindOwner(origin)) {
    owner->answers.set_busy(true);
    this->Refuse(origin);
  }
}

auto OrderRelay::Answer(const Origin& origin, const OrderResult& result)
    -> void {
  if (Owner* owner = this->FindOwner(origin)) {
    peer::RelayedAnswer answer;
    answer.set_number(origin.number);
    EncodeResult(result, answer);
    this->AddToBatch(origin.owner, *owner, std::move(answer));
  }
}

auto OrderRelay::FindOwner(const Origin& origin) -> Owner* {
  const auto owner = this->owners.find(origin.owner);
  return owner != this->owners.end() &&
                 owner->second.incarnation == origin.incarnation
             ? &owner->second
             : nullptr;
}

auto OrderRelay::AddToBatch(const EntryId& owner_id,
                            Owner& owner,
                            peer::RelayedAnswer answer) -> void {
  owner.bytes += answer.ByteSizeLong();
  *owner.answers.add_answers() = std::move(answer);
  if (owner.answers.answers_size() >= kMaxBatchCount ||
      owner.bytes >= kMaxBatchBytes) {
    this->Flush(owner_id, owner);
  } else {
    this->flush.Start(kBatchDelay);
  }
}

auto OrderRelay::FlushAll() -> void {
  for (auto& [id, owner] : this->owners) {
    if (owner.answers.answers_size() > 0) {
      this->Flush(id, owner);
    }
  }
}

auto OrderRelay::Flush(const EntryId& owner_id, Owner& owner) -> void {
  peer::Envelope envelope;
  envelope.mutable_order_reply_batch()->Swap(&owner.answers);
  owner.answers.Clear();
  owner.bytes = 0;
  envelope.mutable_order_reply_batch()->set_owner_incarnation(
      owner.incarnation);
  envelope.mutable_order_reply_batch()->set_stopping(this->stopping);
  // The answers are lost if there is no connection. The owner then gives the
  // orders the verdict kUnknown when they time out.
  this->links.Send(owner_id, std::move(envelope));
}

auto OrderRelay::Leave() -> void {
  this->stopping = true;
  for (auto& [id, owner] : this->owners) {
    this->Flush(id, owner);
  }
}

auto OrderRelay::IsIdle() const -> bool {
  if (!this->queue.empty() || this->in_progress > 0) {
    return false;
  }
  for (const auto& [id, owner] : this->owners) {
    if (owner.answers.answers_size() > 0) {
      return false;
    }
  }
  return true;
}

auto OrderRelay::RemoveUnresponsiveOwners() -> void {
  const TimePoint now = ReadBootClock();
  for (auto owner = this->owners.begin(); owner != this->owners.end();) {
    if (now - owner->second.last_message_at < kOwnerTimeout) {
      ++owner;
      continue;
    }
    this->links.Disconnect(RelayLinks::Role::kOwner, owner->first);
    owner = this->owners.erase(owner);
  }
}

}  // namespace fireflythread
