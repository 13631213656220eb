#ifndef FIREFLYTHREAD_CONFIG_EDIT_RESULT_H_
#define FIREFLYTHREAD_CONFIG_EDIT_RESULT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "fireflythread/config/plan_edit.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction_outcome.h"

namespace fireflythread {

/// The edit is in the table. It is accepted once a majority has applied it.
struct EditCommitted {
  /// The configuration version it made.
  std::uint64_t version = 0;
  /// The version of the edited row.
  std::uint64_t row_version = 0;
};

/// The edit is not in the table because another edit came first, but the
/// edited object has not changed: plan it again on the newer snapshot.
struct EditHeadMoved {};

/// The edit is not in the table and will not be.
struct EditNotCommitted {
  std::string reason;
};

/// Not known yet. Read the history row back and, while it is absent, commit
/// SettlingTransaction().
struct EditUnknown {};

using EditResult = std::variant<EditCommitted,
                                EditConflict,
                                EditHeadMoved,
                                EditNotCommitted,
                                EditUnknown>;

/// What the outcome of the planned transaction says of the edit. A conflict is
/// certain only if the transaction was sent once.
[[nodiscard]] auto EditResultOf(const PlannedEdit& plan,
                                const TransactionOutcome& outcome)
    -> EditResult;

/// What the history row at HistoryKey(plan.version), read after the answer was
/// lost, says of the edit. While `head_moved` is false an absent row leaves it
/// unknown, as the transaction may still be on its way. `head_moved` says that
/// the head row was known to have left the version that the plan requires
/// before this read was sent.
[[nodiscard]] auto ReadBackEdit(const PlannedEdit& plan,
                                const std::optional<Row>& history,
                                bool head_moved) -> EditResult;

/// Writes the head row anew with its number unchanged. Once this is committed
/// the planned transaction can no longer take effect, because its condition on
/// the head row fails. Its own outcome may be lost and it may be sent again.
[[nodiscard]] auto SettlingTransaction(const PlannedEdit& plan) -> Transaction;

/// What the outcome of SettlingTransaction() says of the edit. EditHeadMoved
/// means: read the history row back with `head_moved` set.
[[nodiscard]] auto EditResultOfSettling(const TransactionOutcome& outcome)
    -> EditResult;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_EDIT_RESULT_H_
