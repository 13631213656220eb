#ifndef FIREFLYTHREAD_GATEWAY_LOAN_DESK_H_
#define FIREFLYTHREAD_GATEWAY_LOAN_DESK_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/gateway/gateway_state.h"
#include "fireflythread/gateway/loan_message.h"

namespace fireflythread {

/// Borrows slots from peers for pools that need more than their own, and lends
/// to them.
class LoanDesk {
 public:
  /// Short, because a lender cannot call a slot back: with loans of 1 s,
  /// entries that lost slots to an ejected worker queued past the deadline
  /// while slots lent to others idled (bench-worker-choice).
  static constexpr Duration kLoanTime = std::chrono::milliseconds(250);
  /// A pool asks again this long after it asked, which renews its loans well
  /// before they end.
  static constexpr Duration kAskInterval = std::chrono::milliseconds(100);
  /// One in so many own slots stays free for own requests.
  static constexpr int kKeptShare = 4;

  explicit LoanDesk(GatewayState& state);

  [[nodiscard]] auto TakeMessages(TimePoint now) -> std::vector<LoanMessage>;
  [[nodiscard]] auto Lend(const EntryId& from,
                          const LoanRequest& request,
                          TimePoint now) -> LoanReply;
  auto TakeReply(const EntryId& from, const LoanReply& reply, TimePoint now)
      -> void;
  auto TakeReturn(const EntryId& from, const SlotReturn& returned) -> void;

 private:
  struct Asked {
    PoolName pool;
    EntryId lender;
    TimePoint at;
  };

  /// Slots of the pool that this entry needs beyond its own.
  [[nodiscard]] auto SlotsNeeded(const GatewayPool& pool, TimePoint now) const
      -> int;
  /// A reply under way may renew a loan, so nothing is given back meanwhile:
  /// the lender would take the slot for free while it is used here.
  [[nodiscard]] auto IsWaitingForReply(const PoolName& pool) const -> bool;
  auto AskPeers(const GatewayPool& pool,
                int needed,
                TimePoint now,
                std::vector<LoanMessage>& messages) -> void;

  GatewayState& state;
  std::uint64_t next_request = 1;
  std::map<std::uint64_t, Asked> asked;
  std::map<PoolName, TimePoint> asked_at;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_LOAN_DESK_H_
