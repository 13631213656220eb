#include "fireflythread/membership/acceptance.h"

#include <algorithm>

#include "fireflythread/membership/membership.h"
#include "fireflythread/membership/membership_settings.h"

namespace fireflythread {

namespace {

auto ExtendSpan(AcceptanceWatch& watch,
                const EntryId& member,
                std::uint64_t incarnation,
                TimePoint from,
                TimePoint to) -> void {
  const auto [found, is_new] = watch.spans.try_emplace(member);
  AppliedSpan& span = found->second;
  if (is_new || span.incarnation != incarnation) {
    span = {.incarnation = incarnation, .from = from, .to = to};
  }
  span.to = std::max(span.to, to);
}

/// Looks for a moment that a majority of the spans share. If there is one, the
/// beginning of a span is one.
auto FindSharedMoment(AcceptanceWatch& watch, const Membership& membership)
    -> void {
  for (const auto& [member, candidate] : watch.spans) {
    const TimePoint moment = candidate.from;
    const auto sharing =
        std::ranges::count_if(watch.spans, [&](const auto& item) {
          return item.second.from <= moment && moment <= item.second.to;
        });
    if (static_cast<std::size_t>(sharing) >= MajorityOf(membership)) {
      watch.accepted_at = moment;
      return;
    }
  }
}

}  // namespace

auto WatchPong(AcceptanceWatch& watch,
               const Membership& membership,
               const EntryId& sender,
               std::uint64_t incarnation,
               const PongAnswer& answer,
               TimePoint now) -> void {
  const auto round =
      std::ranges::find(membership.rounds, answer.round, &PingRound::round);
  if (round == membership.rounds.end() || answer.recovering ||
      answer.versions.Get(watch.kind) < watch.version) {
    return;
  }
  ExtendSpan(watch, sender, incarnation, now, round->sent_at);
  WatchSelf(watch, membership, now);
}

auto WatchSelf(AcceptanceWatch& watch,
               const Membership& membership,
               TimePoint now) -> bool {
  if (!membership.recovering &&
      membership.applied.Get(watch.kind) >= watch.version) {
    ExtendSpan(watch, membership.self, 0, now, now);
  }
  if (!watch.accepted_at) {
    FindSharedMoment(watch, membership);
  }
  return watch.accepted_at.has_value();
}

auto GoneMembers(const AcceptanceWatch& watch,
                 const Membership& membership,
                 const MembershipSettings& settings,
                 TimePoint now) -> std::vector<EntryId> {
  std::vector<EntryId> gone;
  const Duration limit = settings.freshness_limit + settings.longest_request;
  if (!watch.accepted_at || now <= *watch.accepted_at + limit) {
    return gone;
  }
  for (const EntryId& member : membership.members) {
    if (member == membership.self) {
      continue;
    }
    const auto report = membership.peers.find(member);
    const bool responds =
        report != membership.peers.end() && !report->second.recovering &&
        report->second.versions.Get(watch.kind) >= watch.version &&
        now <= report->second.answered_question_of + limit;
    if (!responds) {
      gone.push_back(member);
    }
  }
  return gone;
}

}  // namespace fireflythread
