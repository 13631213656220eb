#ifndef FIREFLYTHREAD_DUTIES_DUTIES_H_
#define FIREFLYTHREAD_DUTIES_DUTIES_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "fireflythread/duties/duty_state.h"

namespace fireflythread {

/// The platform's answer to an order.
enum class DutyVerdict : std::uint8_t {
  kDone,
  /// The order carried an outdated fencing token.
  kFenced,
  /// The VM is not up, or is leaving.
  kBusy,
  /// The VM is not part of this wave, does not exist, or may not join this
  /// pool.
  kRefused,
  /// There was no answer, or the platform has no capacity for calls.
  kUnknown
};

/// Applies the platform's complete list of VMs: removes the duties whose VMs
/// are back or gone, and completes waves.
auto ApplyMachineList(DutyState& state,
                      const std::vector<MachineView>& machines,
                      TimePoint now) -> void;

/// Adds or updates a declared wave. `done` are the VMs whose upkeep is stored
/// as done; it applies only when the wave is added.
auto ApplyWave(DutyState& state,
               const WaveRequest& wave,
               const std::set<VmId>& done,
               TimePoint now) -> void;

/// Applies the set of workers that the shard owners report as drained: their
/// VMs' orders become ready to be sent.
auto ApplyDrained(DutyState& state,
                  const std::set<WorkerId>& drained_workers,
                  TimePoint now) -> void;

/// Starts the upkeeps that are due in the declared waves, and ends the draining
/// of workers that took longer than kDrainTimeout.
auto PlanUpkeeps(DutyState& state, TimePoint now) -> void;

/// Starts moves from pools with surplus workers to pools that need more, and to
/// the spare pool.
auto PlanMoves(DutyState& state, TimePoint now) -> void;

/// Applies the VMs that have a record of a former owner's order. It is not
/// known whether and when that order was sent.
auto ApplyFormerOrders(DutyState& state, const std::set<VmId>& vms) -> void;

/// Returns the orders that are due and marks them as being recorded. Each must
/// be recorded before it is sent, so that the next owner knows which VMs it
/// must not order for a while.
[[nodiscard]] auto NextOrders(DutyState& state, TimePoint now)
    -> std::vector<Duty>;

/// Applies whether the orders of `NextOrders` were recorded by a transaction
/// that was sent at `sent_at`, and returns those to send. Orders that were not
/// recorded, or more than kRecordValidity ago, are recorded again after
/// kDutyRetryDelay.
[[nodiscard]] auto ApplyRecordResult(DutyState& state,
                                     const std::vector<Duty>& orders,
                                     bool stored,
                                     TimePoint sent_at,
                                     TimePoint now) -> std::vector<Duty>;

/// Removes the records that are no longer needed from the state and returns
/// their VMs, so that the caller removes the stored rows.
[[nodiscard]] auto RemoveExpiredRecords(DutyState& state, TimePoint now)
    -> std::vector<VmId>;

/// Applies the answer to an order.
auto ApplyOrderReply(DutyState& state,
                     const VmId& vm,
                     DutyVerdict verdict,
                     TimePoint now) -> void;

/// Returns the workers that must be drained or stay drained: those of VMs with
/// a duty, and those that ended with an order and may still be registered.
[[nodiscard]] auto WorkersToDrain(const DutyState& state) -> std::set<WorkerId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_DUTIES_H_
