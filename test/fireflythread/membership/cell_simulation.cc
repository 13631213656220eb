#include "test/fireflythread/membership/cell_simulation.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "fireflythread/base/overloaded.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/membership/freshness.h"
#include "fireflythread/membership/recovery.h"

namespace fireflythread::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(20);
constexpr Duration kLimit = seconds(2);
constexpr std::size_t kController = 0;

auto NameOf(std::size_t index) -> EntryId {
  return EntryId("e" + std::to_string(index));
}

auto AllNames() -> std::vector<EntryId> {
  std::vector<EntryId> names;
  for (std::size_t index = 0; index < kMembers; ++index) {
    names.push_back(NameOf(index));
  }
  return names;
}

auto RowsAt(const HeadVersions& versions) -> std::vector<Row> {
  std::vector<Row> rows;
  if (versions.config > 0) {
    rows.push_back({"config", "head", 1, std::to_string(versions.config)});
  }
  if (versions.fleet > 0) {
    rows.push_back({"fleet", "head", 1, std::to_string(versions.fleet)});
  }
  return rows;
}

}  // namespace

CellSimulation::CellSimulation(std::uint64_t seed, CellPolicy run_policy)
    : random(seed), policy(run_policy), now(seconds(1)) {
  for (Entry& entry : this->entries) {
    this->Restart(entry);
  }
}

auto CellSimulation::Chance(int percent) -> bool {
  return static_cast<int>(this->random() % 100) < percent;
}

auto CellSimulation::Below(int limit_ms) -> Duration {
  return milliseconds(this->random() % static_cast<unsigned>(limit_ms));
}

auto CellSimulation::Run(Duration length) -> void {
  const TimePoint end = this->now + length;
  while (this->now < end && this->violation.empty()) {
    this->now += kStep;
    if (this->Chance(1) && this->Chance(20)) {
      this->store_down_until = this->now + this->Below(40000);
    }
    this->DeliverDue();
    for (std::size_t index = 0; index < kMembers; ++index) {
      Entry& entry = this->entries[index];
      this->Disturb(entry);
      if (entry.frozen_until <= this->now) {
        this->Act(index);
        this->Serve(entry);
      }
    }
    this->StepController();
  }
}

auto CellSimulation::Restart(Entry& entry) -> void {
  const auto index = static_cast<std::size_t>(&entry - this->entries.data());
  entry = Entry();
  entry.incarnation = this->random();
  entry.state = MakeMembership(NameOf(index), entry.incarnation, AllNames());
  entry.next_action = this->now;
  this->heard[index] = this->now;
  if (index == kController) {
    this->tracker = DrainTracker();
    this->heard.fill(this->now);
  }
}

auto CellSimulation::Disturb(Entry& entry) -> void {
  if (!this->Chance(1)) {
    return;
  }
  switch (this->random() % 8) {
    case 0:
      this->Restart(entry);
      break;
    case 1:
      entry.frozen_until =
          this->now + this->Below(this->Chance(20) ? 40000 : 4000);
      break;
    case 2:
      entry.cut_until = this->now + this->Below(10000);
      break;
    case 3:
      entry.store_cut_until = this->now + this->Below(20000);
      break;
    default:
      break;
  }
}

auto CellSimulation::Act(std::size_t index) -> void {
  Entry& entry = this->entries[index];
  if (entry.next_action > this->now) {
    return;
  }
  entry.next_action = this->now + milliseconds(200) + this->Below(200);
  const bool recovering = entry.state.recovering;
  const PingQuestion question = StartPingRound(entry.state, this->now);
  const std::uint64_t recovery = recovering ? StartRecovery(entry.state) : 0;
  for (std::size_t peer = 0; peer < kMembers; ++peer) {
    if (peer != index) {
      this->Post(index, peer, question);
      if (recovering) {
        this->Post(index, peer, SnapshotQuestion{recovery});
      }
    }
  }
  if (!recovering && entry.state.applied.fleet % 2 == 1 &&
      entry.in_flight_until <= this->now) {
    this->Post(index, kController, DrainAck{entry.state.applied.fleet});
  }
  this->AskStore(index);
  if (!recovering && this->Chance(8)) {
    this->Edit(index);
  }
}

auto CellSimulation::AskStore(std::size_t index) -> void {
  Entry& entry = this->entries[index];
  if (this->store_down_until > this->now || entry.store_cut_until > this->now ||
      this->Chance(20)) {
    return;
  }
  // The read is carried out now; its answer may be late.
  Message answer;
  answer.deliver_at = this->now + this->Below(this->Chance(10) ? 3000 : 50);
  answer.to = index;
  answer.to_incarnation = entry.incarnation;
  answer.body = StoreRead{this->now, this->store};
  this->messages.push_back(std::move(answer));
}

auto CellSimulation::Edit(std::size_t index) -> void {
  Entry& entry = this->entries[index];
  if (this->store_down_until > this->now || entry.store_cut_until > this->now ||
      entry.write_done_at || entry.state.applied.config != this->store.config) {
    return;
  }
  BeginWrite(entry.state, "w");
  // The answer is lost; a later read shows the result.
  entry.write_done_at = this->now;
  this->store.config += this->Chance(70) ? 1 : 0;
}

auto CellSimulation::Post(std::size_t from,
                          std::size_t to,
                          decltype(Message::body) body) -> void {
  if (this->entries[from].cut_until > this->now ||
      this->entries[to].cut_until > this->now) {
    return;
  }
  const int copies = this->Chance(10) ? 0 : (this->Chance(10) ? 2 : 1);
  for (int copy = 0; copy < copies; ++copy) {
    const Duration delay = this->Below(this->Chance(10) ? 4000 : 40);
    this->messages.push_back({.deliver_at = this->now + delay,
                              .from = from,
                              .to = to,
                              .incarnation = this->entries[from].incarnation,
                              .to_incarnation = 0,
                              .body = body});
  }
}

auto CellSimulation::DeliverDue() -> void {
  const auto is_due = [&](const Message& message) {
    return message.deliver_at <= this->now &&
           this->entries[message.to].frozen_until <= this->now;
  };
  const auto first =
      std::partition(this->messages.begin(), this->messages.end(),
                     [&](const Message& message) { return !is_due(message); });
  std::vector<Message> due(std::make_move_iterator(first),
                           std::make_move_iterator(this->messages.end()));
  this->messages.erase(first, this->messages.end());
  std::shuffle(due.begin(), due.end(), this->random);
  for (const Message& message : due) {
    this->TakeBody(message.to, message);
  }
}

auto CellSimulation::TakeBody(std::size_t to, const Message& message) -> void {
  Entry& entry = this->entries[to];
  if (message.to_incarnation != 0) {
    if (message.to_incarnation == entry.incarnation) {
      this->TakeStoreAnswer(entry, std::get<StoreRead>(message.body));
    }
    return;
  }
  if (to == kController &&
      message.incarnation == this->entries[message.from].incarnation) {
    this->heard[message.from] = this->now;
  }
  if (const auto* question = std::get_if<PingQuestion>(&message.body)) {
    PongAnswer answer = AnswerPing(entry.state, *question);
    answer.recovering =
        answer.recovering && !this->policy.vouch_while_recovering;
    this->Post(to, message.from, answer);
  } else if (const auto* pong = std::get_if<PongAnswer>(&message.body)) {
    TakePong(entry.state, NameOf(message.from), message.incarnation, *pong);
    this->Observe(entry, message, *pong);
  } else if (const auto* asked = std::get_if<SnapshotQuestion>(&message.body)) {
    this->Post(
        to, message.from,
        OfferSnapshot(entry.state, asked->round, RowsAt(entry.state.applied)));
  } else if (std::holds_alternative<SnapshotOffer>(message.body)) {
    this->TakeOfferMessage(to, message);
  } else if (const auto* ack = std::get_if<DrainAck>(&message.body)) {
    NoteDrainAcknowledgement(this->tracker, NameOf(message.from), VmId("vm"),
                             {message.incarnation, ack->generation});
  }
}

auto CellSimulation::TakeStoreAnswer(Entry& entry, const StoreRead& read)
    -> void {
  const TimePoint date = this->policy.date_to_answer ? this->now : read.sent_at;
  TakeStoreRead(entry.state, HeadKind::kConfig, read.versions.config, date);
  TakeStoreRead(entry.state, HeadKind::kFleet, read.versions.fleet, date);
  if (entry.state.recovering) {
    FinishRecovery(entry.state, read.versions);
  } else if (this->Chance(80)) {
    SetApplied(entry.state, HeadKind::kConfig, read.versions.config);
    SetApplied(entry.state, HeadKind::kFleet, read.versions.fleet);
    if (entry.write_done_at && read.sent_at > *entry.write_done_at) {
      entry.write_done_at.reset();
      ResolveWrite(entry.state, "w");
    }
  }
}

auto CellSimulation::TakeOfferMessage(std::size_t to, const Message& message)
    -> void {
  Entry& entry = this->entries[to];
  const auto& offer = std::get<SnapshotOffer>(message.body);
  if (!TakeOffer(entry.state, NameOf(message.from), offer)) {
    return;
  }
  if (this->policy.recover_from_one) {
    FinishRecovery(entry.state, offer.versions);
  } else if (const auto state = RecoveredByQuorum(entry.state)) {
    FinishRecovery(entry.state, state->versions);
    ++this->quorum_recoveries;
  }
}

auto CellSimulation::Observe(Entry& entry,
                             const Message& message,
                             const PongAnswer& answer) -> void {
  const std::uint64_t version = entry.state.applied.config;
  if (!entry.watch || entry.watch->version != version) {
    entry.watch.emplace();
    entry.watch->version = version;
    entry.single_reports = {message.to};
  }
  if (entry.watch->accepted_at || entry.state.recovering) {
    return;
  }
  WatchPong(*entry.watch, entry.state, NameOf(message.from),
            message.incarnation, answer, this->now);
  if (this->policy.accept_single_reports && !answer.recovering &&
      answer.versions.config >= version) {
    entry.single_reports.insert(message.from);
    if (entry.single_reports.size() >= MajorityOf(entry.state)) {
      entry.watch->accepted_at = this->now;
    }
  }
  if (entry.watch->accepted_at) {
    this->accepted.push_back({version, *entry.watch->accepted_at});
    ++this->accepted_versions;
  }
}

auto CellSimulation::Serve(Entry& entry) -> void {
  const bool may_serve =
      MayServe(entry.state, kLimit, this->now) ||
      (this->policy.no_freshness_check && !entry.state.recovering);
  if (!may_serve) {
    return;
  }
  for (const Accepted& item : this->accepted) {
    if (item.at + kLimit < this->now &&
        entry.state.applied.config < item.version) {
      this->violation = "served by a configuration older than an accepted one";
    }
  }
  const std::uint64_t fleet = entry.state.applied.fleet;
  if (fleet % 2 == 1 || entry.in_flight_until > this->now ||
      !this->Chance(20)) {
    return;
  }
  if (this->store.fleet >= fleet + 2) {
    this->violation = "sent for the old pool after the move";
  }
  entry.in_flight_until =
      this->now + this->Below(this->Chance(5) ? 30000 : 500);
  entry.in_flight_version = fleet;
  ++this->sends;
}

auto CellSimulation::Members() const -> std::map<EntryId, MemberState> {
  const Entry& controller = this->entries[kController];
  std::map<EntryId, MemberState> members;
  for (std::size_t index = 0; index < kMembers; ++index) {
    const Entry& entry = this->entries[index];
    MemberState& member = members[NameOf(index)];
    member.incarnation = entry.incarnation;
    member.last_heard = this->heard[index];
    const auto report = controller.state.peers.find(NameOf(index));
    if (index == kController) {
      member.last_heard = this->now;
      member.fleet_version = entry.state.applied.fleet;
    } else if (report != controller.state.peers.end() &&
               report->second.incarnation == entry.incarnation &&
               !report->second.recovering) {
      member.last_heard = report->second.answered_question_of;
      member.fleet_version = report->second.versions.fleet;
    }
  }
  return members;
}

auto CellSimulation::StepController() -> void {
  Entry& controller = this->entries[kController];
  if (controller.frozen_until > this->now || controller.state.recovering ||
      this->store_down_until > this->now ||
      controller.store_cut_until > this->now ||
      controller.state.applied.fleet != this->store.fleet) {
    return;
  }
  if (this->store.fleet % 2 == 0) {
    this->store.fleet += this->Chance(2) ? 1 : 0;
    return;
  }
  VmRecord record;
  record.id = VmId("vm");
  record.state = VmState::kDraining;
  record.generation = this->store.fleet;
  FleetView fleet{.version = this->store.fleet, .vms = {{record.id, record}}};
  const auto members = this->Members();
  UpdateDrains(this->tracker, fleet, members, kMembers, this->now);
  if (!this->policy.no_drain_ack &&
      !IsDrained(this->tracker, record, members, this->now)) {
    return;
  }
  for (const Entry& entry : this->entries) {
    if (entry.in_flight_until > this->now &&
        entry.in_flight_version < this->store.fleet) {
      this->violation = "moved while a request for the old pool was in flight";
    }
  }
  ++this->store.fleet;
  ++this->moves;
}

}  // namespace fireflythread::testing
