#ifndef FIREFLYTHREAD_DUTIES_DUTIES_H_
#define FIREFLYTHREAD_DUTIES_DUTIES_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "fireflythread/duties/duty_state.h"

namespace fireflythread {

/// The answer to an order to the platform.
enum class DutyVerdict : std::uint8_t {
  kDone,
  kFenced,
  /// The VM is not up, or leaves.
  kBusy,
  /// The VM is not of this wave, does not exist, or may not join this pool.
  kRefused,
  /// No answer, or the platform has no capacity for calls.
  kUnknown
};

/// Takes in the platform's whole list of VMs.
auto ApplyMachineList(DutyState& state,
                      const std::vector<MachineView>& machines,
                      TimePoint now) -> void;

/// Takes in a declared wave, with the VMs that are stored as done.
auto ApplyWave(DutyState& state,
               const WaveRequest& wave,
               const std::set<VmId>& done,
               TimePoint now) -> void;

/// The workers that the shards' owners report as empty.
auto ApplyDrained(DutyState& state,
                  const std::set<WorkerId>& drained_workers,
                  TimePoint now) -> void;

/// Begins the upkeeps that waves are due for.
auto PlanUpkeeps(DutyState& state, TimePoint now) -> void;

/// Begins moves from pools that have more than they need to those that lack
/// workers, and to the spare pool.
auto PlanMoves(DutyState& state, TimePoint now) -> void;

/// VMs that have a record of a former owner's order. Whether that order was
/// sent, and when, is not known.
auto ApplyFormerOrders(DutyState& state, const std::set<VmId>& vms) -> void;

/// The orders whose turn has come. Each must be recorded before it is sent, so
/// that the next owner knows which VMs it has to leave alone for a while.
[[nodiscard]] auto NextOrders(DutyState& state, TimePoint now)
    -> std::vector<Duty>;

/// Takes in whether the orders of `NextOrders` were recorded, and gives those
/// that are to be sent.
[[nodiscard]] auto ApplyRecordResult(DutyState& state,
                                     const std::vector<Duty>& orders,
                                     bool stored,
                                     TimePoint now) -> std::vector<Duty>;

/// VMs whose records have become needless; they count as removed.
[[nodiscard]] auto RemoveExpiredRecords(DutyState& state, TimePoint now)
    -> std::vector<VmId>;

/// Takes in the answer to an order.
auto ApplyOrderReply(DutyState& state,
                     const VmId& vm,
                     DutyVerdict verdict,
                     TimePoint now) -> void;

/// Workers that are to be empty now.
[[nodiscard]] auto WorkersToDrain(const DutyState& state) -> std::set<WorkerId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_DUTIES_H_
