#ifndef FIREFLYTHREAD_JOBS_UNRESPONSIVE_WORKERS_H_
#define FIREFLYTHREAD_JOBS_UNRESPONSIVE_WORKERS_H_

#include <cstdint>
#include <optional>
#include <string>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/shard_state.h"
#include "fireflythread/jobs/unresponsive_record.h"

namespace fireflythread {

/// Returns the row's value in the store.
[[nodiscard]] auto EncodeUnresponsiveRow(const UnresponsiveRow& row)
    -> std::string;

/// Returns the row of a stored value; an empty one if it cannot be read.
[[nodiscard]] auto DecodeUnresponsiveRow(const std::string& value)
    -> UnresponsiveRow;

/// Applies the row that a new owner has read. Its times count only if the row
/// was written by the owner directly before this one, `former_fence`: a later
/// owner may have given leases without knowing the row.
auto ApplyUnresponsiveRow(ShardState& state,
                          const UnresponsiveRow& row,
                          std::uint64_t version,
                          std::uint64_t former_fence) -> void;

/// Returns the row to store next, if the stored one is out of date. The workers
/// that it names get no lease from now on.
[[nodiscard]] auto NextUnresponsiveRow(ShardState& state, TimePoint now)
    -> std::optional<UnresponsiveRow>;

/// Applies that a row is stored. Workers that it does not name may get leases
/// again.
auto ApplyRowStored(ShardState& state,
                    const UnresponsiveRow& row,
                    std::uint64_t version) -> void;

/// Applies that a row is not stored, or that this is unknown.
auto ApplyRowNotStored(ShardState& state, TimePoint now) -> void;

/// Applies that a row was certainly not stored. Workers that only it names may
/// get leases.
auto ApplyRowRefused(ShardState& state, TimePoint now) -> void;

/// Returns whether the worker may get a lease: the stored row certainly does
/// not name it.
[[nodiscard]] auto MayGetLease(const ShardState& state, const WorkerId& worker)
    -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_UNRESPONSIVE_WORKERS_H_
