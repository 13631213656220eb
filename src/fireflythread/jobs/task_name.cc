#include "fireflythread/jobs/task_name.h"

#include <fmt/format.h>

#include <array>
#include <charconv>
#include <cstddef>

namespace fireflythread {
namespace {

auto ParseNumber(std::string_view text) -> std::optional<int> {
  int value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{} || rest != end || value < 0) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

auto FormatTaskName(const TaskName& task) -> std::string {
  return fmt::format("{}.{}.{}.{}", task.job.value, task.occurrence, task.step,
                     task.index);
}

auto ParseTaskName(std::string_view text) -> std::optional<TaskName> {
  std::array<int, 3> numbers{};
  for (std::size_t left = numbers.size(); left > 0; --left) {
    const std::size_t dot = text.rfind('.');
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    const auto number = ParseNumber(text.substr(dot + 1));
    if (!number) {
      return std::nullopt;
    }
    numbers[left - 1] = *number;
    text = text.substr(0, dot);
  }
  if (text.empty()) {
    return std::nullopt;
  }
  return TaskName{JobId(std::string(text)), numbers[0], numbers[1], numbers[2]};
}

}  // namespace fireflythread
