#ifndef FIREFLYTHREAD_JOBS_TASK_NAME_H_
#define FIREFLYTHREAD_JOBS_TASK_NAME_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Identifies one task of a job; the occurrence, step and index count from 0.
struct TaskName {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  // clang-tidy 14 mistakes the 0 in the generated comparison for a pointer.
  auto operator<=>(const TaskName&) const = default;  // NOLINT
};

/// Returns "JOB.OCCURRENCE.STEP.INDEX".
[[nodiscard]] auto FormatTaskName(const TaskName& task) -> std::string;

/// Parses the text that FormatTaskName() returns. Returns no value for any
/// other text.
[[nodiscard]] auto ParseTaskName(std::string_view text)
    -> std::optional<TaskName>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_TASK_NAME_H_
