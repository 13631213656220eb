#ifndef FIREFLYTHREAD_JOBS_TASK_SIZE_H_
#define FIREFLYTHREAD_JOBS_TASK_SIZE_H_

#include <cstdint>

namespace fireflythread {

/// Resources of a task or a worker.
struct TaskSize {
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  auto operator==(const TaskSize&) const -> bool = default;
};

/// Returns whether `needed` fits into `free` in each resource.
[[nodiscard]] constexpr auto Fits(const TaskSize& needed, const TaskSize& free)
    -> bool {
  return needed.millicores <= free.millicores &&
         needed.memory_mb <= free.memory_mb &&
         needed.accelerators <= free.accelerators;
}

[[nodiscard]] constexpr auto Plus(const TaskSize& left, const TaskSize& right)
    -> TaskSize {
  return {left.millicores + right.millicores, left.memory_mb + right.memory_mb,
          left.accelerators + right.accelerators};
}

[[nodiscard]] constexpr auto Minus(const TaskSize& left, const TaskSize& right)
    -> TaskSize {
  return {left.millicores - right.millicores, left.memory_mb - right.memory_mb,
          left.accelerators - right.accelerators};
}

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_TASK_SIZE_H_
