#include "fireflythread/gateway/loan_desk.h"

#include <algorithm>

namespace fireflythread {

namespace {

/// A reply that takes longer is of no use: the loan has ended.
constexpr Duration kReplyLimit = LoanDesk::kLoanTime;
/// Asked for beyond the present need, so that the next request need not wait.
constexpr int kSlotsAhead = 1;

}  // namespace

LoanDesk::LoanDesk(GatewayState& gateway_state) : state(gateway_state) {}

auto LoanDesk::SlotsNeeded(const GatewayPool& pool, TimePoint now) const
    -> int {
  const int busy = pool.slots.BusySlots(now);
  const auto queued = static_cast<int>(pool.queue.Size());
  const int own = now < this->state.predecessor_until
                      ? 0
                      : pool.slots.OwnSlots() - pool.slots.LentSlots(now);
  if (queued == 0 && busy < own) {
    return 0;
  }
  const int most =
      static_cast<int>(pool.workers.size()) * pool.spec.slots_per_worker;
  return std::clamp(busy + queued + kSlotsAhead - own, 0, most - own);
}

auto LoanDesk::TakeMessages(TimePoint now) -> std::vector<LoanMessage> {
  std::vector<LoanMessage> messages;
  std::erase_if(this->asked, [&](const auto& entry) {
    return now >= entry.second.at + kReplyLimit;
  });
  for (auto& [name, pool] : this->state.pools) {
    if (!this->IsWaitingForReply(name)) {
      for (auto& [lender, loans] : pool.slots.TakeEndedLoans(now)) {
        messages.push_back({lender, SlotReturn{std::move(loans)}});
      }
    }
    const int needed = this->SlotsNeeded(pool, now);
    const auto last = this->asked_at.find(name);
    if (needed > 0 &&
        (last == this->asked_at.end() || now >= last->second + kAskInterval)) {
      this->AskPeers(pool, needed, now, messages);
    }
  }
  return messages;
}

auto LoanDesk::IsWaitingForReply(const PoolName& pool) const -> bool {
  return std::any_of(
      this->asked.begin(), this->asked.end(),
      [&](const auto& entry) { return entry.second.pool == pool; });
}

auto LoanDesk::AskPeers(const GatewayPool& pool,
                        int needed,
                        TimePoint now,
                        std::vector<LoanMessage>& messages) -> void {
  const auto peers = static_cast<int>(this->state.settings.members.size()) - 1;
  if (peers <= 0) {
    return;
  }
  this->asked_at[pool.name] = now;
  const int from_each = (needed + peers - 1) / peers;
  for (const EntryId& member : this->state.settings.members) {
    if (member != this->state.settings.self) {
      const std::uint64_t number = this->next_request++;
      this->asked[number] = {pool.name, member, now};
      messages.push_back({member, LoanRequest{number, pool.name, from_each}});
    }
  }
}

auto LoanDesk::Lend(const EntryId& from,
                    const LoanRequest& request,
                    TimePoint now) -> LoanReply {
  LoanReply reply{request.request, {}, kLoanTime};
  const auto pool = this->state.pools.find(request.pool);
  const auto& members = this->state.settings.members;
  if (pool == this->state.pools.end() || this->state.shutting_down ||
      pool->second.queue.Size() > 0 || request.slots <= 0 ||
      from == this->state.settings.self ||
      std::find(members.begin(), members.end(), from) == members.end()) {
    return reply;
  }
  SlotTable& slots = pool->second.slots;
  const int kept = (slots.OwnSlots() + kKeptShare - 1) / kKeptShare;
  reply.loans = slots.Lend(from, request.slots, kept, now, kLoanTime);
  return reply;
}

auto LoanDesk::TakeReply(const EntryId& from,
                         const LoanReply& reply,
                         TimePoint now) -> void {
  const auto found = this->asked.find(reply.request);
  if (found == this->asked.end() || found->second.lender != from) {
    return;
  }
  const Asked question = found->second;
  this->asked.erase(found);
  const auto pool = this->state.pools.find(question.pool);
  // Counted from the sending of the request, which is before the lender
  // counts from, whatever the time on the way.
  const TimePoint until = question.at + std::min(reply.duration, kLoanTime);
  if (pool != this->state.pools.end() && now < until) {
    pool->second.slots.Borrow(from, reply.loans, until);
  }
}

auto LoanDesk::TakeReturn(const EntryId& from, const SlotReturn& returned)
    -> void {
  for (auto& [name, pool] : this->state.pools) {
    pool.slots.AcceptReturned(from, returned.loans);
  }
}

}  // namespace fireflythread
