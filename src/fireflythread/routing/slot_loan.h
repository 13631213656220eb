#ifndef FIREFLYTHREAD_ROUTING_SLOT_LOAN_H_
#define FIREFLYTHREAD_ROUTING_SLOT_LOAN_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// Identifies a lent slot: a worker and the index of its slot, from 0.
struct SlotLoan {
  VmId vm;
  int slot = 0;

  // NOLINT: clang-tidy 14 mistakes the 0 in the generated comparison for a null
  // pointer.
  auto operator<=>(const SlotLoan&) const = default;  // NOLINT
};

/// Requests a loan of up to `slots` of a peer's free slots of a pool.
struct LoanRequest {
  std::uint64_t request = 0;
  PoolName pool;
  int slots = 0;
};

/// Answers the LoanRequest with the same number. The loans end `duration` after
/// the request was sent, by the borrower's clock.
struct LoanReply {
  std::uint64_t request = 0;
  std::vector<SlotLoan> loans;
  Duration duration{0};
};

/// Returns borrowed slots to their lender, which may then use them before its
/// own time limit for the loan.
struct SlotReturn {
  std::vector<SlotLoan> loans;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ROUTING_SLOT_LOAN_H_
