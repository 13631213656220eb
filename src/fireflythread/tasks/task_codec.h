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

/// Table of the task rows; the key is the task's id.
inline constexpr std::string_view kTaskTable = "task";

/// The name of a state in rows and in answers, e.g. "never-runs".
[[nodiscard]] auto TaskStateName(TaskState state) -> std::string_view;

/// Whether a task in this state changes no more.
[[nodiscard]] auto IsFinal(TaskState state) -> bool;

[[nodiscard]] auto EncodeTaskRecord(const TaskRecord& record) -> std::string;

/// Reads a task's row; a malformed row gives a RowError.
[[nodiscard]] auto DecodeTaskRecord(const Row& row)
    -> std::variant<TaskRecord, RowError>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TASKS_TASK_CODEC_H_
