#ifndef FIREFLYTHREAD_DUTIES_DUTY_LIMITS_H_
#define FIREFLYTHREAD_DUTIES_DUTY_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace fireflythread {

/// Share of a pool's cores that may be in use before it asks for more, in
/// percent: the headroom of the default capacity profile.
inline constexpr int kTargetUsePercent = 85;

/// Workers that a pool keeps beyond its need.
inline constexpr int kReserveWorkers = 1;

/// Share of its size that a pool keeps while others need workers, in percent,
/// so that a new peak of its own finds some at once.
inline constexpr int kMinRetainedPercent = 55;

/// A pool's need has to be lower for this long before it gives workers to the
/// spare pool; a move there and back costs as much as a few seconds in use.
inline constexpr std::chrono::milliseconds kReleaseAfter{1500};

/// Part of a pool that may be away for upkeep at once: one of this many.
inline constexpr int kUnavailableDivisor = 4;

/// Time of one VM's upkeep, with the emptying of its worker.
inline constexpr std::chrono::milliseconds kUpkeepDuration{5000};

/// A wave passes over pools in their peak for the first part of its time, one
/// of this many. The rest suffices for all VMs, a few of each pool at a time.
inline constexpr int kDeferralDivisor = 3;

/// A worker that could not be emptied within this time is left in peace.
inline constexpr std::chrono::milliseconds kDrainTimeout{6000};

/// Pause before an order without an answer, or refused as busy, is sent again.
inline constexpr std::chrono::milliseconds kDutyRetryDelay{400};

/// A new owner leaves a VM that the former one may have ordered alone for this
/// long, so that two do not take turns at it.
inline constexpr std::chrono::milliseconds kFormerOrderPause{3300};

/// Orders that are recorded together, and records that are removed with them.
/// Both go into one transaction, which may hold 100 entries.
inline constexpr std::size_t kMaxRecordsPerTransaction = 45;

/// A VM that is missing from this many lists in a row is gone for good.
inline constexpr int kGoneAfterMissingLists = 3;

/// A worker that ended with an order may stay registered for this long.
inline constexpr std::chrono::milliseconds kRetiredWorkerRetention{12000};

/// A VM that was moved stays this long.
inline constexpr std::chrono::milliseconds kMoveCooldown{3000};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_DUTY_LIMITS_H_
