#ifndef FIREFLYTHREAD_GATEWAY_LOAN_MESSAGE_H_
#define FIREFLYTHREAD_GATEWAY_LOAN_MESSAGE_H_

#include <variant>

#include "fireflythread/base/ids.h"
#include "fireflythread/routing/slot_loan.h"

namespace fireflythread {

/// A message about slot loans that the daemon sends to one peer.
struct LoanMessage {
  EntryId to;
  std::variant<LoanRequest, SlotReturn> body;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_LOAN_MESSAGE_H_
