#ifndef FIREFLYTHREAD_JOBS_TASK_NAME_H_
#define FIREFLYTHREAD_JOBS_TASK_NAME_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// One task of a job: its occurrence, step and index count from 0.
struct TaskName {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  // clang-tidy 14 takes the generated comparison with 0 for a pointer.
  auto operator<=>(const TaskName&) const = default;  // NOLINT
};

/// "JOB.OCCURRENCE.STEP.INDEX".
[[nodiscard]] auto FormatTaskName(const TaskName& task) -> std::string;

/// Reads what FormatTaskName() writes.
[[nodiscard]] auto ParseTaskName(std::string_view text)
    -> std::optional<TaskName>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_TASK_NAME_H_
