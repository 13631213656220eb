#include "fireflythread/lease/lease.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/lease/lease_record.h"
#include "fireflythread/lease/lease_settings.h"
#include "fireflythread/lease/lease_state.h"

namespace fireflythread {

namespace {

auto DecodeEpoch(const std::optional<Row>& row) -> std::uint64_t {
  if (!row) {
    return 0;
  }
  const nlohmann::json value =
      nlohmann::json::parse(row->value, nullptr, false);
  return value.is_number_unsigned() ? value.get<std::uint64_t>() : 0;
}

auto ValidUntil(const LeaseSettings& settings, TimePoint sent_at) -> TimePoint {
  return sent_at + settings.duration - settings.margin;
}

/// True if the lease row names this process.
auto IsOwn(const LeaseState& state, const LeaseRecord& record) -> bool {
  return record.holder == state.self && record.incarnation == state.incarnation;
}

/// True if nobody can hold the lease by the rows as watched.
auto MayTakeOver(const LeaseState& state,
                 const LeaseSettings& settings,
                 TimePoint now) -> bool {
  const WatchedLease& watched = *state.watched;
  if (watched.lease_version == 0) {
    return true;
  }
  // This process knows that it has stepped down.
  if (watched.record &&
      (watched.record->holder.empty() || IsOwn(state, *watched.record))) {
    return true;
  }
  const Duration duration =
      watched.record ? std::max(watched.record->duration, settings.duration)
                     : settings.duration;
  return now - watched.unchanged_since > duration;
}

auto DropExpired(LeaseState& state, TimePoint now) -> LeaseChange {
  if (!state.held || now < state.held->valid_until) {
    return LeaseChange::kNone;
  }
  state.held.reset();
  return state.stopping ? LeaseChange::kNone : LeaseChange::kLost;
}

/// Opens an attempt and returns its transaction on the lease row. An attempt
/// of unknown result for the same row version hands its sending time down.
auto StartAttempt(LeaseState& state,
                  LeaseAttemptKind kind,
                  const LeaseRecord& record,
                  TimePoint now) -> Transaction {
  const std::uint64_t version = state.watched->lease_version;
  LeaseAttempt attempt;
  attempt.kind = kind;
  attempt.nonce = fmt::format("lease/{}/{}/{}", state.self.value,
                              state.incarnation, state.next_nonce++);
  attempt.epoch = record.epoch;
  attempt.lease_version = version;
  attempt.sent_at = now;
  attempt.first_sent_at = now;
  if (state.attempt && state.attempt->lease_version == version) {
    attempt.first_sent_at = state.attempt->first_sent_at;
  }
  Transaction transaction;
  transaction.nonce = attempt.nonce;
  transaction.conditions = {{kLeaseTable, kLeaseKey, version}};
  transaction.writes = {{kLeaseTable, kLeaseKey, EncodeLease(record)}};
  state.attempt = std::move(attempt);
  return transaction;
}

auto Acquire(LeaseState& state, const LeaseSettings& settings, TimePoint now)
    -> Transaction {
  state.acquire_tried_at = now;
  const WatchedLease& watched = *state.watched;
  const std::uint64_t last_epoch =
      std::max(watched.epoch, watched.record ? watched.record->epoch : 0);
  const LeaseRecord record{.holder = state.self,
                           .incarnation = state.incarnation,
                           .epoch = last_epoch + 1,
                           .duration = settings.duration};
  Transaction transaction =
      StartAttempt(state, LeaseAttemptKind::kAcquire, record, now);
  transaction.conditions.push_back(
      {kLeaseTable, kEpochKey, watched.epoch_version});
  transaction.writes.push_back(
      {kLeaseTable, kEpochKey, std::to_string(record.epoch)});
  return transaction;
}

auto Renew(LeaseState& state, const LeaseSettings& settings, TimePoint now)
    -> Transaction {
  const LeaseRecord record{.holder = state.self,
                           .incarnation = state.incarnation,
                           .epoch = state.held->epoch,
                           .duration = settings.duration};
  state.held->renewed_at = now;
  return StartAttempt(state, LeaseAttemptKind::kRenew, record, now);
}

auto Release(LeaseState& state, TimePoint now) -> Transaction {
  LeaseRecord record;
  record.epoch = state.held->epoch;
  return StartAttempt(state, LeaseAttemptKind::kRelease, record, now);
}

auto AskForRows(LeaseState& state, LeaseStep& step, TimePoint now) -> void {
  step.read_rows = true;
  state.read_asked_at = now;
}

auto IsDue(const std::optional<TimePoint>& last, Duration period, TimePoint now)
    -> bool {
  return !last || now - *last >= period;
}

/// The write of the attempt is known to have taken effect and to have been
/// sent at `sent_at` or later. `epoch_version` is the epoch row's version after
/// an acquisition.
auto ApplyCommitted(LeaseState& state,
                    const LeaseSettings& settings,
                    TimePoint sent_at,
                    std::uint64_t epoch_version,
                    TimePoint now) -> LeaseChange {
  const LeaseAttempt attempt = *state.attempt;
  state.attempt.reset();
  const TimePoint valid_until = ValidUntil(settings, sent_at);
  if (attempt.kind == LeaseAttemptKind::kRelease) {
    state.held.reset();
    return LeaseChange::kNone;
  }
  if (attempt.kind == LeaseAttemptKind::kRenew) {
    if (state.held && state.held->epoch == attempt.epoch) {
      state.held->valid_until = std::max(state.held->valid_until, valid_until);
    }
    return LeaseChange::kNone;
  }
  if (now >= valid_until) {
    return LeaseChange::kNone;
  }
  state.held = HeldLease{.epoch = attempt.epoch,
                         .epoch_version = epoch_version,
                         .valid_until = valid_until,
                         .renewed_at = sent_at};
  return state.stopping ? LeaseChange::kNone : LeaseChange::kAcquired;
}

/// Notes the rows that a committed attempt has written.
auto WatchOwnWrite(LeaseState& state,
                   const LeaseSettings& settings,
                   std::uint64_t revision,
                   TimePoint now) -> void {
  const LeaseAttempt& attempt = *state.attempt;
  WatchedLease& watched = *state.watched;
  LeaseRecord record;
  record.epoch = attempt.epoch;
  if (attempt.kind != LeaseAttemptKind::kRelease) {
    record.holder = state.self;
    record.incarnation = state.incarnation;
    record.duration = settings.duration;
  }
  if (attempt.kind == LeaseAttemptKind::kAcquire) {
    watched.epoch = attempt.epoch;
    watched.epoch_version = revision;
  }
  watched.lease_version = revision;
  watched.record = record;
  watched.unchanged_since = now;
  state.watched_as_of = now;
}

auto UpdateWatched(LeaseState& state,
                   const std::optional<Row>& lease,
                   const std::optional<Row>& epoch,
                   TimePoint now) -> void {
  const std::uint64_t version = lease ? lease->version : 0;
  if (!state.watched || state.watched->lease_version != version) {
    WatchedLease& watched = state.watched.emplace();
    watched.lease_version = version;
    watched.unchanged_since = now;
    watched.record = lease ? DecodeLease(lease->value) : std::nullopt;
  }
  state.watched->epoch_version = epoch ? epoch->version : 0;
  state.watched->epoch = DecodeEpoch(epoch);
}

/// Settles an attempt of unknown result by rows that were read after it.
auto SettleAttempt(LeaseState& state,
                   const LeaseSettings& settings,
                   TimePoint now) -> LeaseChange {
  if (!state.attempt || state.attempt->outstanding) {
    return LeaseChange::kNone;
  }
  const WatchedLease& watched = *state.watched;
  const LeaseAttempt& attempt = *state.attempt;
  if (watched.lease_version == attempt.lease_version) {
    state.attempt->may_repeat = true;
    return LeaseChange::kNone;
  }
  const bool own = watched.record && IsOwn(state, *watched.record) &&
                   watched.record->epoch == attempt.epoch;
  // The fence of an acquisition is the version of its own epoch row.
  const bool epoch_known = attempt.kind != LeaseAttemptKind::kAcquire ||
                           watched.epoch == attempt.epoch;
  if (own && epoch_known && attempt.kind != LeaseAttemptKind::kRelease) {
    return ApplyCommitted(state, settings, attempt.first_sent_at,
                          watched.epoch_version, now);
  }
  state.attempt.reset();
  return LeaseChange::kNone;
}

/// Gives the lease up when the rows show another holder or epoch.
auto DropOvertaken(LeaseState& state) -> LeaseChange {
  const WatchedLease& watched = *state.watched;
  if (!state.held || (watched.record && IsOwn(state, *watched.record) &&
                      watched.record->epoch == state.held->epoch)) {
    return LeaseChange::kNone;
  }
  state.held.reset();
  return state.stopping ? LeaseChange::kNone : LeaseChange::kLost;
}

/// The write or read that is due, when no write is outstanding.
auto PlanNext(LeaseState& state,
              const LeaseSettings& settings,
              TimePoint now,
              LeaseStep& step) -> void {
  const bool unknown = state.attempt && !state.attempt->may_repeat;
  if (unknown) {
    if (IsDue(state.read_asked_at, settings.read_every, now)) {
      AskForRows(state, step, now);
    }
  } else if (state.held && state.stopping) {
    step.transaction = Release(state, now);
  } else if (state.held) {
    if (now - state.held->renewed_at >= settings.renew_every) {
      step.transaction = Renew(state, settings, now);
    }
  } else if (state.stopping) {
    // What is left of an attempt no longer matters: nothing was held by it.
    state.attempt.reset();
  } else if (state.watched && MayTakeOver(state, settings, now) &&
             IsDue(state.acquire_tried_at, settings.read_every, now)) {
    step.transaction = Acquire(state, settings, now);
  } else if (IsDue(state.read_asked_at, settings.read_every, now)) {
    AskForRows(state, step, now);
  }
}

/// The outcome is not known: the rows tell, if read from now on.
auto MarkUnknown(LeaseState& state, LeaseStep& step, TimePoint now) -> void {
  state.attempt->outstanding = false;
  state.watched_as_of = now;
  AskForRows(state, step, now);
}

}  // namespace

auto TakeLeaseRows(LeaseState& state,
                   const LeaseSettings& settings,
                   const std::optional<Row>& lease,
                   const std::optional<Row>& epoch,
                   TimePoint sent_at,
                   TimePoint now) -> LeaseStep {
  LeaseStep step;
  if (state.watched_as_of && sent_at < *state.watched_as_of) {
    return step;
  }
  state.watched_as_of = sent_at;
  step.change = DropExpired(state, now);
  UpdateWatched(state, lease, epoch, now);
  const LeaseChange settled = SettleAttempt(state, settings, now);
  const LeaseChange overtaken = DropOvertaken(state);
  if (settled != LeaseChange::kNone) {
    step.change = settled;
  } else if (overtaken != LeaseChange::kNone) {
    step.change = overtaken;
  }
  return step;
}

auto TakeLeaseOutcome(LeaseState& state,
                      const LeaseSettings& settings,
                      const std::string& nonce,
                      const TransactionOutcome& outcome,
                      TimePoint now) -> LeaseStep {
  LeaseStep step;
  if (!state.attempt || !state.attempt->outstanding ||
      state.attempt->nonce != nonce) {
    return step;
  }
  step.change = DropExpired(state, now);
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    WatchOwnWrite(state, settings, committed->revision, now);
    const LeaseChange change = ApplyCommitted(
        state, settings, state.attempt->sent_at, committed->revision, now);
    step.change = change != LeaseChange::kNone ? change : step.change;
  } else if (std::holds_alternative<NotCommitted>(outcome) &&
             state.attempt->first_sent_at == state.attempt->sent_at) {
    state.attempt.reset();
  } else {
    // A conflict may be with an earlier write of this entry.
    MarkUnknown(state, step, now);
  }
  return step;
}

auto StepLease(LeaseState& state, const LeaseSettings& settings, TimePoint now)
    -> LeaseStep {
  LeaseStep step;
  step.change = DropExpired(state, now);
  if (!state.attempt || !state.attempt->outstanding) {
    PlanNext(state, settings, now, step);
  }
  return step;
}

auto StopLease(LeaseState& state) -> void {
  state.stopping = true;
}

auto IsReleased(const LeaseState& state) -> bool {
  return state.stopping && !state.held && !state.attempt;
}

auto HoldsLease(const LeaseState& state, TimePoint now) -> bool {
  return state.held && !state.stopping && now < state.held->valid_until;
}

auto FenceCondition(const LeaseState& state, TimePoint now)
    -> std::optional<Condition> {
  if (!HoldsLease(state, now)) {
    return std::nullopt;
  }
  return Condition{kLeaseTable, kEpochKey, state.held->epoch_version};
}

auto FencingToken(const LeaseState& state, TimePoint now)
    -> std::optional<std::uint64_t> {
  if (!HoldsLease(state, now)) {
    return std::nullopt;
  }
  return state.held->epoch;
}

}  // namespace fireflythread
