#ifndef FIREFLYTHREAD_PLATFORM_TRANSACTION_OUTCOME_H_
#define FIREFLYTHREAD_PLATFORM_TRANSACTION_OUTCOME_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/platform/row.h"

namespace fireflythread {

/// The transaction took effect; every written row has this version.
struct Committed {
  std::uint64_t revision = 0;
};

/// A condition did not hold and nothing was written. Holds the rows whose
/// versions differ, as they are now; an absent row has version 0.
struct Conflict {
  std::vector<Row> current;
};

/// Nothing was written, for certain: the connection was refused or the
/// platform said that it did not run the request.
struct NotCommitted {
  std::string reason;
};

/// The transaction may or may not have taken effect: the answer was lost.
struct CommitUnknown {
  std::string reason;
};

using TransactionOutcome =
    std::variant<Committed, Conflict, NotCommitted, CommitUnknown>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_TRANSACTION_OUTCOME_H_
