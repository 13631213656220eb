#ifndef FIREFLYTHREAD_ROUTING_SLOT_LOAN_H_
#define FIREFLYTHREAD_ROUTING_SLOT_LOAN_H_

#include <compare>
#include <cstdint>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// One slot of a worker, counted from 0.
struct SlotLoan {
  VmId vm;
  int slot = 0;

  // clang-tidy 14 takes the generated comparison with 0 for a pointer.
  auto operator<=>(const SlotLoan&) const = default;  // NOLINT
};

/// Asks a peer for up to `slots` of its free slots of a pool.

struct LoanRequest {
  std::uint64_t request = 0;
  PoolName pool;
  int slots = 0;
};

/// Answers the request of the same number. The loans end `duration` after the
/// request was sent, by the borrower's clock.
struct LoanReply {
  std::uint64_t request = 0;
  std::vector<SlotLoan> loans;
  Duration duration{0};
};

/// Gives slots back before their loan ends.
struct SlotReturn {
  std::vector<SlotLoan> loans;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ROUTING_SLOT_LOAN_H_
