#ifndef FIREFLYTHREAD_OWNERSHIP_ENDED_OWNERSHIPS_H_
#define FIREFLYTHREAD_OWNERSHIP_ENDED_OWNERSHIPS_H_

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/lease_times.h"
#include "fireflythread/ownership/ended_ownership.h"
#include "fireflythread/ownership/former_owner.h"
#include "fireflythread/ownership/ownership_state.h"

namespace fireflythread {

/// Removes the ended ownerships of this entry whose leases have all expired.
auto RemoveOldEndedOwnerships(OwnershipState& state, TimePoint now) -> void;

/// Returns the ended ownerships of this entry as they stand in its row, with
/// times counted from `now`.
[[nodiscard]] auto EncodeEndedOwnerships(const OwnershipState& state,
                                         TimePoint now) -> nlohmann::json;

/// Reads the ended ownerships in another entry's row. Leaves out what cannot
/// be read. `ended_at` is not set.
[[nodiscard]] auto DecodeEndedOwnerships(const nlohmann::json& row)
    -> std::map<ShardName, EndedOwnership>;

/// Returns the unresponsive workers of a former owner that certainly gives no
/// more leases, with times counted from its entry's last change; no value while
/// it may still give leases. A process that was replaced by another one names
/// no workers.
[[nodiscard]] auto FindEndedOwnership(const OwnershipState& state,
                                      const ShardName& shard,
                                      const FormerOwner& former)
    -> std::optional<LeaseTimes>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_ENDED_OWNERSHIPS_H_
