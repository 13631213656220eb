#include "fireflythread/membership/freshness.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "fireflythread/membership/membership.h"

namespace fireflythread {

namespace {

auto HeadOf(const Membership& membership, HeadKind kind) -> const StoreHead& {
  return kind == HeadKind::kConfig ? membership.store_config
                                   : membership.store_fleet;
}

/// The sending time of the older of the latest reads of both rows, if the
/// entry has applied all that any read showed. A read answered before the
/// versions were applied counts, because the state it showed is the one now
/// applied.
auto StoreConfirmation(const Membership& membership)
    -> std::optional<TimePoint> {
  const StoreHead& config = membership.store_config;
  const StoreHead& fleet = membership.store_fleet;
  if (!config.read_sent_at || !fleet.read_sent_at ||
      config.version > membership.applied.config ||
      fleet.version > membership.applied.fleet) {
    return std::nullopt;
  }
  return std::min(*config.read_sent_at, *fleet.read_sent_at);
}

auto IsConfirmed(const Membership& membership, const PingRound& round) -> bool {
  const bool own_vote =
      !membership.recovering && membership.unresolved_writes.empty();
  std::size_t votes = own_vote ? 1 : 0;
  for (const auto& [peer, answer] : round.answers) {
    if (answer.vouches && answer.versions.NotNewerThan(membership.applied)) {
      ++votes;
    }
  }
  return votes >= MajorityOf(membership);
}

}  // namespace

auto TakeStoreRead(Membership& membership,
                   HeadKind kind,
                   std::uint64_t version,
                   TimePoint sent_at) -> void {
  StoreHead& head = kind == HeadKind::kConfig ? membership.store_config
                                              : membership.store_fleet;
  head.version = std::max(head.version, version);
  head.read_sent_at = std::max(head.read_sent_at, std::optional(sent_at));
  Reconfirm(membership);
}

auto SetApplied(Membership& membership, HeadKind kind, std::uint64_t version)
    -> void {
  std::uint64_t& applied = kind == HeadKind::kConfig ? membership.applied.config
                                                     : membership.applied.fleet;
  applied = std::max(applied, version);
  Reconfirm(membership);
}

auto BeginWrite(Membership& membership, std::string nonce) -> void {
  membership.unresolved_writes.insert(std::move(nonce));
}

auto ResolveWrite(Membership& membership, const std::string& nonce) -> void {
  membership.unresolved_writes.erase(nonce);
  Reconfirm(membership);
}

auto Reconfirm(Membership& membership) -> void {
  // An absent value orders before every time.
  membership.confirmed_at =
      std::max(membership.confirmed_at, StoreConfirmation(membership));
  for (const PingRound& round : membership.rounds) {
    if (IsConfirmed(membership, round)) {
      membership.confirmed_at =
          std::max(membership.confirmed_at, std::optional(round.sent_at));
    }
  }
}

auto HighestKnown(const Membership& membership, HeadKind kind)
    -> std::uint64_t {
  std::uint64_t highest =
      std::max(membership.applied.Get(kind), HeadOf(membership, kind).version);
  for (const auto& [peer, report] : membership.peers) {
    highest = std::max(highest, report.versions.Get(kind));
  }
  return highest;
}

auto ConfirmedUntil(const Membership& membership, Duration freshness_limit)
    -> std::optional<TimePoint> {
  if (membership.recovering || !membership.confirmed_at) {
    return std::nullopt;
  }
  return *membership.confirmed_at + freshness_limit;
}

auto MayServe(const Membership& membership,
              Duration freshness_limit,
              TimePoint now) -> bool {
  const auto until = ConfirmedUntil(membership, freshness_limit);
  return until && now <= *until;
}

}  // namespace fireflythread
