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
auto TakeMachines(DutyState& state,
                  const std::vector<MachineView>& machines,
                  TimePoint now) -> void;

/// Takes in a declared wave, with the VMs that are stored as done.
auto TakeWave(DutyState& state,
              const WaveRequest& wave,
              const std::set<VmId>& done,
              TimePoint now) -> void;

/// The workers that the shards' owners report as empty.
auto TakeVacated(DutyState& state,
                 const std::set<WorkerId>& vacated,
                 TimePoint now) -> void;

/// Begins the upkeeps that waves are due for.
auto PlanUpkeeps(DutyState& state, TimePoint now) -> void;

/// Begins moves from pools that have more than they need to those that lack
/// workers, and to the spare pool.
auto PlanMoves(DutyState& state, TimePoint now) -> void;

/// The orders that may be sent now; each counts as sent.
[[nodiscard]] auto NextOrders(DutyState& state, TimePoint now)
    -> std::vector<Duty>;

/// Takes in the answer to an order.
auto TakeOrderReply(DutyState& state,
                    const VmId& vm,
                    DutyVerdict verdict,
                    TimePoint now) -> void;

/// Workers that are to be empty now.
[[nodiscard]] auto WorkersToVacate(const DutyState& state)
    -> std::set<WorkerId>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_DUTIES_H_
