#ifndef FIREFLYTHREAD_TASKS_TASK_CODEC_H_
#define FIREFLYTHREAD_TASKS_TASK_CODEC_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "fireflythread/fleet/row_error.h"
#include "fireflythread/platform/fwd.h"
#include "fireflythread/tasks/task_record.h"

namespace fireflythread {

/// Table of the tasks; the key of a row is the task's id.
inline constexpr std::string_view kTaskTable = "task";

/// Returns the name of a state in rows and answers, e.g. "never-runs".
[[nodiscard]] auto TaskStateName(TaskState state) -> std::string_view;

/// Returns true if a task in this state does not change any more.
[[nodiscard]] auto IsFinal(TaskState state) -> bool;

[[nodiscard]] auto EncodeTaskRecord(const TaskRecord& record) -> std::string;

/// Decodes a task's row; returns a RowError for a malformed row.
[[nodiscard]] auto DecodeTaskRecord(const Row& row)
    -> std::variant<TaskRecord, RowError>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_CODEC_H_
