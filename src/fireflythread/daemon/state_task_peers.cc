// The part of the state task that exchanges control state with peers.

#include <algorithm>
#include <utility>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/config/apply_change.h"
#include "fireflythread/config/config_change.h"
#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/daemon/control_rows.h"
#include "fireflythread/daemon/peer_message.h"
#include "fireflythread/daemon/state_rows.h"
#include "fireflythread/daemon/state_task.h"
#include "fireflythread/daemon/state_task_poll.h"
#include "fireflythread/fleet/fleet_changes.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/membership/acceptance.h"
#include "fireflythread/membership/freshness.h"
#include "fireflythread/membership/ping.h"
#include "fireflythread/membership/ping_question.h"
#include "fireflythread/membership/pong_answer.h"
#include "fireflythread/membership/recovered_state.h"
#include "fireflythread/membership/recovery.h"
#include "fireflythread/peer/state_codec.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread {
namespace {

constexpr char kComponent[] = "state";

}  // namespace

auto StateTask::HandlePeer(const PeerMessage& message) -> void {
  switch (message.envelope.body_case()) {
    case peer::Envelope::kPing:
      this->HandlePing(message);
      break;
    case peer::Envelope::kPong:
      this->HandlePong(message);
      break;
    case peer::Envelope::kStatePush:
      this->HandlePush(message);
      break;
    case peer::Envelope::kSnapshotRequest:
      this->HandleSnapshotRequest(message);
      break;
    case peer::Envelope::kSnapshotReply:
      this->HandleSnapshotReply(message);
      break;
    default:
      break;
  }
}

auto StateTask::SendPings() -> void {
  const PingQuestion question =
      StartPingRound(this->membership, ReadBootClock());
  peer::Envelope envelope;
  envelope.mutable_ping()->set_round(question.round);
  envelope.mutable_ping()->set_config_version(question.versions.config);
  envelope.mutable_ping()->set_fleet_version(question.versions.fleet);
  this->PushToPeers(envelope);
}

auto StateTask::PushToPeers(const peer::Envelope& envelope) -> void {
  for (const EntryId& member : this->membership.members) {
    if (member != this->membership.self) {
      this->outputs.send(member, envelope);
    }
  }
}

auto StateTask::HandlePing(const PeerMessage& message) -> void {
  const peer::Ping& ping = message.envelope.ping();
  const PingQuestion question{ping.round(),
                              {ping.config_version(), ping.fleet_version()}};
  const PongAnswer answer = AnswerPing(this->membership, question);
  peer::Envelope envelope;
  peer::Pong& pong = *envelope.mutable_pong();
  pong.set_round(answer.round);
  pong.set_config_version(answer.versions.config);
  pong.set_fleet_version(answer.versions.fleet);
  pong.set_recovering(answer.recovering);
  pong.set_unresolved_write(answer.unresolved_write);
  this->outputs.send(message.sender, std::move(envelope));
}

auto StateTask::HandlePong(const PeerMessage& message) -> void {
  const peer::Pong& pong = message.envelope.pong();
  PongAnswer answer;
  answer.round = pong.round();
  answer.versions = {pong.config_version(), pong.fleet_version()};
  answer.recovering = pong.recovering();
  answer.unresolved_write = pong.unresolved_write();
  if (!TakePong(this->membership, message.sender, message.incarnation,
                answer)) {
    return;
  }
  const TimePoint now = ReadBootClock();
  for (const auto& waiter : this->waiters) {
    WatchPong(waiter->watch, this->membership, message.sender,
              message.incarnation, answer, now);
  }
  this->CheckAcceptance(now);
  this->PublishFreshness();
  const HeadVersions& applied = this->membership.applied;
  if (!this->membership.recovering && !answer.recovering &&
      !answer.versions.NotNewerThan(applied)) {
    this->FetchNewer(message.sender);
  }
}

auto StateTask::FetchNewer(const EntryId& from) -> void {
  // The store may be out of reach for this entry, so the peer is asked too.
  // Round 0 belongs to no recovery.
  peer::Envelope envelope;
  envelope.mutable_snapshot_request()->set_round(0);
  this->outputs.send(from, std::move(envelope));
  this->PollStore();
}

auto StateTask::HandlePush(const PeerMessage& message) -> void {
  const peer::StatePush& push = message.envelope.state_push();
  if (this->membership.recovering) {
    return;
  }
  const std::vector<Row> rows = RowsFromProto(push.rows());
  bool applied = false;
  if (push.table() == TableOf(HeadKind::kConfig)) {
    ConfigChange change;
    change.from_version = push.from_version();
    change.rows = rows;
    change.deleted = DeletedKeysFromProto(push.rows());
    applied = this->ApplyConfig(change);
  } else if (push.table() == TableOf(HeadKind::kFleet)) {
    FleetChanges changes;
    changes.from = push.from_version();
    changes.to = push.to_version();
    changes.rows = rows;
    changes.deleted = DeletedRowsFromProto(push.rows());
    applied = this->ApplyFleet(changes);
  } else {
    this->logger.Warning(kComponent, "peer_message_malformed",
                         {{"peer", message.sender}, {"table", push.table()}});
    return;
  }
  if (!applied) {
    this->FetchNewer(message.sender);
  }
}

auto StateTask::AskForRecovery() -> void {
  if (!this->membership.recovering) {
    return;
  }
  peer::Envelope envelope;
  envelope.mutable_snapshot_request()->set_round(
      StartRecovery(this->membership));
  this->PushToPeers(envelope);
}

auto StateTask::HandleSnapshotRequest(const PeerMessage& message) -> void {
  const SnapshotOffer offer = OfferSnapshot(
      this->membership, message.envelope.snapshot_request().round(),
      this->AllRows());
  peer::Envelope envelope;
  peer::SnapshotReply& reply = *envelope.mutable_snapshot_reply();
  reply.set_round(offer.round);
  reply.set_recovering(offer.recovering);
  reply.set_unresolved_write(offer.unresolved_write);
  reply.set_config_version(offer.versions.config);
  reply.set_fleet_version(offer.versions.fleet);
  for (const Row& row : offer.rows) {
    *reply.add_rows() = ToMessage(row);
  }
  this->outputs.send(message.sender, std::move(envelope));
}

auto StateTask::HandleSnapshotReply(const PeerMessage& message) -> void {
  const peer::SnapshotReply& reply = message.envelope.snapshot_reply();
  SnapshotOffer offer;
  offer.round = reply.round();
  offer.recovering = reply.recovering();
  offer.unresolved_write = reply.unresolved_write();
  offer.versions = {reply.config_version(), reply.fleet_version()};
  offer.rows = RowsFromProto(reply.rows());
  if (!this->membership.recovering) {
    if (!offer.recovering) {
      this->ReplaceState(offer.rows, HeadKind::kConfig);
      this->ReplaceState(offer.rows, HeadKind::kFleet);
    }
    return;
  }
  if (!TakeOffer(this->membership, message.sender, std::move(offer))) {
    return;
  }
  const std::optional<RecoveredState> recovered =
      RecoveredByQuorum(this->membership);
  if (!recovered) {
    return;
  }
  if (!this->ReplaceState(recovered->config_rows, HeadKind::kConfig) ||
      !this->ReplaceState(recovered->fleet_rows, HeadKind::kFleet)) {
    return;
  }
  FinishRecovery(this->membership, recovered->versions);
  this->logger.Info(kComponent, "control_state_recovered",
                    {{"source", "peers"},
                     {"config_version", recovered->versions.config},
                     {"fleet_version", recovered->versions.fleet}});
  this->Publish();
}

auto StateTask::ReplaceState(const std::vector<Row>& rows, HeadKind kind)
    -> bool {
  if (kind == HeadKind::kConfig) {
    const std::vector<Row> config_rows = RowsOfTable(rows, kind);
    if (config_rows.empty()) {
      return true;
    }
    ConfigChange change;
    change.whole = true;
    change.rows = config_rows;
    return this->ApplyConfig(change);
  }
  auto view = FleetFromRows(rows);
  auto* fleet = std::get_if<FleetView>(&view);
  if (fleet == nullptr) {
    this->logger.Error(kComponent, "fleet_rows_malformed");
    return false;
  }
  if (fleet->version > this->state.fleet->version) {
    this->NoteHeadRows(rows);
    this->state.fleet = std::make_shared<FleetView>(std::move(*fleet));
    this->Publish();
  }
  return true;
}

}  // namespace fireflythread
