#ifndef FIREFLYTHREAD_JOBS_BACKLOG_H_
#define FIREFLYTHREAD_JOBS_BACKLOG_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <map>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/jobs/fwd.h"
#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

/// Work, as the time in which the workers complete it.
using WorkTime = std::chrono::duration<double, std::milli>;

/// Limits between the groups in which work in time is counted, by the time left
/// until its deadline. A last group has no limit.
inline constexpr std::array<std::chrono::milliseconds, 6> kDeadlineLimits{
    std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2000), std::chrono::milliseconds(4000),
    std::chrono::milliseconds(8000), std::chrono::milliseconds(16000)};
inline constexpr std::size_t kDeadlineGroups = kDeadlineLimits.size() + 1;

/// Waiting finite work of one class.
struct ClassBacklog {
  /// Work of jobs that can still meet their deadlines, by kDeadlineLimits.
  std::array<WorkTime, kDeadlineGroups> in_time{};
  /// Work of late jobs whose results are still of use.
  WorkTime late{0};
};

/// Waiting finite work of one priority.
struct PriorityBacklog {
  /// Of organisations within their share, and of those over it, which completes
  /// on the cores that the others leave.
  ClassBacklog within_share;
  ClassBacklog over_share;
};

using PriorityBacklogs = std::map<int, PriorityBacklog>;

/// The work that a new job of a shard would find ahead of it. Empty while there
/// is room.
struct Backlog {
  /// Work that competes for the shard's workers.
  PriorityBacklogs pool;
  /// Organisations over their share, with the longest wait that their own work
  /// may cause: it completes at the rate of the share at least.
  std::map<OrganisationName, WorkTime> over_share;
  /// Work of the organisations whose caps leave no room, as the time in which
  /// their own limits let it complete. It is not part of `pool`.
  std::map<OrganisationName, PriorityBacklogs> capped;
};

/// Since when an organisation has been kept from starting tasks by the same
/// limit.
struct CapWait {
  TimePoint since;
  TaskSize limit;
};
using CapWaits = std::map<OrganisationName, CapWait>;

/// A limit counts as an organisation's cap once it has kept its tasks waiting
/// for this long: a shard's limit is raised within some 100 ms if the cap
/// leaves more.
inline constexpr std::chrono::milliseconds kCapSettled{1000};

/// Estimates the work ahead of new jobs, as of the last planning step.
/// `cap_waits` is kept between calls, which come at least each kCapSettled.
[[nodiscard]] auto MeasureBacklog(ShardState& state,
                                  CapWaits& cap_waits,
                                  WallTime wall_now,
                                  TimePoint now) -> Backlog;

/// Returns all work that competes for the shard's workers, or that of the
/// organisation at its cap with the most, whichever is more.
[[nodiscard]] auto LongestWait(const Backlog& backlog) -> WorkTime;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_BACKLOG_H_
