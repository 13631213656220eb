#ifndef FIREFLYTHREAD_QUOTA_RESOURCES_H_
#define FIREFLYTHREAD_QUOTA_RESOURCES_H_

#include <algorithm>
#include <array>
#include <cstdint>

#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

/// The resources of a task, each of which a cap may limit.
inline constexpr std::array<std::int64_t TaskSize::*, 3> kResources = {
    &TaskSize::millicores, &TaskSize::memory_mb, &TaskSize::accelerators};

/// Stands for a resource without a limit. Sums of a few stay in the range of an
/// integer.
inline constexpr std::int64_t kNoLimit = std::int64_t{1} << 50;

/// Returns the larger amount of each resource.
[[nodiscard]] inline auto MaxOf(const TaskSize& left, const TaskSize& right)
    -> TaskSize {
  return {std::max(left.millicores, right.millicores),
          std::max(left.memory_mb, right.memory_mb),
          std::max(left.accelerators, right.accelerators)};
}

/// Returns the smaller amount of each resource.
[[nodiscard]] inline auto MinOf(const TaskSize& left, const TaskSize& right)
    -> TaskSize {
  return {std::min(left.millicores, right.millicores),
          std::min(left.memory_mb, right.memory_mb),
          std::min(left.accelerators, right.accelerators)};
}

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_QUOTA_RESOURCES_H_
