#ifndef FIREFLYTHREAD_LEASE_LEASE_H_
#define FIREFLYTHREAD_LEASE_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fireflythread/base/time.h"
#include "fireflythread/lease/fwd.h"
#include "fireflythread/lease/lease_step.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/transaction_outcome.h"

namespace fireflythread {

/// Advances the lease by time alone; to be called several times a second.
[[nodiscard]] auto StepLease(LeaseState& state,
                             const LeaseSettings& settings,
                             TimePoint now) -> LeaseStep;

/// Takes the rows `lease/controller` and `lease/controller_epoch`, no value
/// when absent. `sent_at` is when the read was sent, `now` when it was
/// answered. Late answers are ignored.
[[nodiscard]] auto TakeLeaseRows(LeaseState& state,
                                 const LeaseSettings& settings,
                                 const std::optional<Row>& lease,
                                 const std::optional<Row>& epoch,
                                 TimePoint sent_at,
                                 TimePoint now) -> LeaseStep;

/// Takes the outcome of the transaction with this nonce. Outcomes of other
/// transactions have no effect.
[[nodiscard]] auto TakeLeaseOutcome(LeaseState& state,
                                    const LeaseSettings& settings,
                                    const std::string& nonce,
                                    const TransactionOutcome& outcome,
                                    TimePoint now) -> LeaseStep;

/// Makes the next steps release the lease, for a graceful shutdown.
auto StopLease(LeaseState& state) -> void;

/// True after StopLease() once the lease is released or was never held.
[[nodiscard]] auto IsReleased(const LeaseState& state) -> bool;

/// True while the entry is the controller. To be checked on a fresh reading of
/// the boot clock before each command.
[[nodiscard]] auto HoldsLease(const LeaseState& state, TimePoint now) -> bool;

/// The condition that every transaction of the controller must carry. No value
/// when the entry is not the controller.
[[nodiscard]] auto FenceCondition(const LeaseState& state, TimePoint now)
    -> std::optional<Condition>;

/// The fencing token for commands. No value when the entry is not the
/// controller.
[[nodiscard]] auto FencingToken(const LeaseState& state, TimePoint now)
    -> std::optional<std::uint64_t>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_LEASE_LEASE_H_
