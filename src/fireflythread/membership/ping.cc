#include "fireflythread/membership/ping.h"

#include <algorithm>
#include <cstddef>

#include "fireflythread/membership/freshness.h"
#include "fireflythread/membership/membership.h"

namespace fireflythread {

namespace {

/// Rounds for which answers are still taken. At the shortest period in use,
/// 200 ms, they cover the freshness limit of 2 s; older ones confirm nothing.
constexpr std::size_t kKeptRounds = 16;

auto FindRound(Membership& membership, std::uint64_t number) -> PingRound* {
  const auto found =
      std::ranges::find(membership.rounds, number, &PingRound::round);
  return found == membership.rounds.end() ? nullptr : &*found;
}

auto AddAnswer(PingRound& round,
               const EntryId& sender,
               const PongAnswer& answer) -> void {
  RoundAnswer& merged = round.answers[sender];
  merged.versions.RaiseTo(answer.versions);
  merged.vouches =
      merged.vouches && !answer.recovering && !answer.unresolved_write;
}

auto UpdateReport(Membership& membership,
                  const EntryId& sender,
                  std::uint64_t incarnation,
                  const PongAnswer& answer,
                  TimePoint sent_at) -> void {
  const auto [found, is_new] = membership.peers.try_emplace(sender);
  PeerReport& report = found->second;
  const bool replaced = is_new || report.incarnation != incarnation;
  // A late answer of a predecessor must not displace its successor's report.
  if (replaced && !is_new && sent_at < report.answered_question_of) {
    return;
  }
  if (replaced) {
    report = PeerReport();
    report.incarnation = incarnation;
  }
  report.answered_question_of =
      replaced ? sent_at : std::max(report.answered_question_of, sent_at);
  report.versions.RaiseTo(answer.versions);
  // Recovery happens once in an incarnation, so an older "recovering" is void.
  report.recovering = report.recovering && answer.recovering;
}

}  // namespace

auto StartPingRound(Membership& membership, TimePoint now) -> PingQuestion {
  PingRound round;
  round.round = membership.next_round++;
  round.sent_at = now;
  membership.rounds.push_back(round);
  if (membership.rounds.size() > kKeptRounds) {
    membership.rounds.pop_front();
  }
  // An entry without peers is its own majority.
  Reconfirm(membership);
  return {.round = round.round, .versions = membership.applied};
}

auto AnswerPing(const Membership& membership, const PingQuestion& question)
    -> PongAnswer {
  return {.round = question.round,
          .versions = membership.applied,
          .recovering = membership.recovering,
          .unresolved_write = !membership.unresolved_writes.empty()};
}

auto TakePong(Membership& membership,
              const EntryId& sender,
              std::uint64_t incarnation,
              const PongAnswer& answer) -> bool {
  PingRound* round = FindRound(membership, answer.round);
  if (round == nullptr || sender == membership.self ||
      !membership.members.contains(sender)) {
    return false;
  }
  AddAnswer(*round, sender, answer);
  UpdateReport(membership, sender, incarnation, answer, round->sent_at);
  Reconfirm(membership);
  return true;
}

}  // namespace fireflythread
