#ifndef FIREFLYTHREAD_FLEET_DRAIN_TRACKER_H_
#define FIREFLYTHREAD_FLEET_DRAIN_TRACKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/fleet/fwd.h"
#include "fireflythread/fleet/member_state.h"

namespace fireflythread {

/// An entry stops sending when its control state was last confirmed longer ago.
inline constexpr Duration kFreshnessLimit = std::chrono::seconds(2);
/// No request runs longer than this at an entry.
inline constexpr Duration kLongestRequest = std::chrono::seconds(30);

/// One entry's acknowledgement that it sends nothing more to a VM.
struct DrainAcknowledgement {
  std::uint64_t incarnation = 0;
  std::uint64_t generation = 0;
};

/// The span in which one incarnation of a member certainly had a version in
/// force: from its first such report to `MemberState::last_heard` of the last.
struct AppliedReport {
  std::uint64_t incarnation = 0;
  TimePoint from;
  TimePoint to;
};

/// The acknowledgements for one VM that is draining.
struct DrainProgress {
  std::uint64_t generation = 0;
  /// The head version at which the draining row was first seen.
  std::uint64_t fleet_version = 0;
  /// Since when so many members have applied `fleet_version` that the others
  /// cannot confirm an older one by a quorum among themselves.
  std::optional<TimePoint> settled_at;
  std::map<EntryId, AppliedReport> applied;
  std::map<EntryId, DrainAcknowledgement> acknowledgements;
};

/// Drains in progress. Kept in the controller's memory only; entries repeat
/// their acknowledgements while a VM is draining, so a new controller learns
/// them again.
struct DrainTracker {
  std::map<VmId, DrainProgress> drains;
};

/// Keeps an acknowledgement. An older generation than the one already known
/// from the same incarnation is ignored. The last incarnation heard wins; only
/// the registered one counts, and it repeats its acknowledgement.
auto NoteDrainAcknowledgement(DrainTracker& tracker,
                              const EntryId& entry,
                              const VmId& vm,
                              DrainAcknowledgement acknowledgement) -> void;

/// Takes in the current rows and members: starts tracking VMs that are in
/// kDraining and forgets the others. `cell_size` counts the members that the
/// settings name: those that the controller does not know may confirm an older
/// version to each other too.
auto UpdateDrains(DrainTracker& tracker,
                  const FleetView& fleet,
                  const std::map<EntryId, MemberState>& members,
                  std::size_t cell_size,
                  TimePoint now) -> void;

/// The members that must still acknowledge that the VM is drained; empty when
/// the VM is drained. Every current incarnation of a registered member must
/// acknowledge the row's generation. An earlier incarnation counts as gone. A
/// silent member counts as gone when it has not been heard, and could not have
/// confirmed an older fleet version, for freshness limit + longest request.
/// With no members known nothing is drained, and `members` is not empty for a
/// controller that is registered itself.
[[nodiscard]] auto MembersHoldingDrain(
    const DrainTracker& tracker,
    const VmRecord& record,
    const std::map<EntryId, MemberState>& members,
    TimePoint now) -> std::vector<EntryId>;

/// Whether the drain of this record is complete.
[[nodiscard]] auto IsDrained(const DrainTracker& tracker,
                             const VmRecord& record,
                             const std::map<EntryId, MemberState>& members,
                             TimePoint now) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_FLEET_DRAIN_TRACKER_H_
