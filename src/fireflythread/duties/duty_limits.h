#ifndef FIREFLYTHREAD_DUTIES_DUTY_LIMITS_H_
#define FIREFLYTHREAD_DUTIES_DUTY_LIMITS_H_

#include <chrono>
#include <cstddef>

namespace fireflythread {

/// Target utilization of a pool's cores, in percent, above which it needs more
/// workers. It leaves the headroom of the default capacity profile.
inline constexpr int kTargetUsePercent = 85;

/// Number of workers that a pool keeps in addition to what its load needs.
inline constexpr int kReserveWorkers = 1;

/// Percentage of its initial size that a pool keeps while other pools need
/// workers, so that it has some at once when its own load rises.
inline constexpr int kMinRetainedPercent = 55;

/// A pool must have surplus workers for this long before it releases some to
/// the spare pool, as a move there and back costs a few seconds of a worker's
/// time.
inline constexpr std::chrono::milliseconds kReleaseAfter{1500};

/// The size of a pool divided by this number is the upper limit of its
/// unavailable VMs while a wave starts upkeeps.
inline constexpr int kUnavailableDivisor = 4;

/// Expected duration of one VM's upkeep, including the drain of its worker.
inline constexpr std::chrono::milliseconds kUpkeepDuration{5000};

/// A wave defers upkeeps in pools with a load peak for its duration divided by
/// this number. The rest suffices for all VMs, a few of each pool at a time.
inline constexpr int kDeferralDivisor = 3;

/// Upper limit of the time to drain a worker for an upkeep or a move. After it,
/// the duty is cancelled.
inline constexpr std::chrono::milliseconds kDrainTimeout{6000};

/// Delay before an order that was not recorded, got no answer or was refused as
/// busy is tried again.
inline constexpr std::chrono::milliseconds kDutyRetryDelay{400};

/// A new owner sends no order for a VM that the former owner may have ordered
/// for this long, so that two owners do not send orders for the same VM.
inline constexpr std::chrono::milliseconds kFormerOrderPause{3300};

/// A recorded order may be sent for this long after the transaction with its
/// record was sent. With the timeout of the order, which is as long, it is over
/// before kFormerOrderPause, so that no order of a paused process arrives when
/// the next owner may order the same VM.
inline constexpr std::chrono::milliseconds kRecordValidity{1500};

/// Upper limit of the orders recorded in one transaction, and also of the
/// records removed in it. A transaction may hold 100 entries.
inline constexpr std::size_t kMaxRecordsPerTransaction = 45;

/// A VM that is missing from this many consecutive lists is considered gone.
inline constexpr int kGoneAfterMissingLists = 3;

/// Time for which a worker that ended with an order may stay registered.
inline constexpr std::chrono::milliseconds kRetiredWorkerRetention{12000};

/// Minimum time that a moved VM stays in its new pool.
inline constexpr std::chrono::milliseconds kMoveCooldown{3000};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DUTIES_DUTY_LIMITS_H_
