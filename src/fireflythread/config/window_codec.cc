#include "fireflythread/config/window_codec.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "fireflythread/config/field_reader.h"

namespace fireflythread::internal {

namespace {

constexpr const char* kWindowForm =
    "{\"begin\": \"HH:MM\", \"end\": \"HH:MM\", \"weekdays\": [0 to 6]}";

auto IsDigit(char c) -> bool {
  return c >= '0' && c <= '9';
}

/// Reads "HH:MM" from 00:00 to 24:00.
auto ParseTimeOfDay(const nlohmann::json& value)
    -> std::optional<std::chrono::minutes> {
  if (!value.is_string()) {
    return std::nullopt;
  }
  const std::string& text = value.get_ref<const std::string&>();
  if (text.size() != 5 || text[2] != ':' || !IsDigit(text[0]) ||
      !IsDigit(text[1]) || !IsDigit(text[3]) || !IsDigit(text[4])) {
    return std::nullopt;
  }
  const int hours = (text[0] - '0') * 10 + (text[1] - '0');
  const int minutes = (text[3] - '0') * 10 + (text[4] - '0');
  const int total = hours * 60 + minutes;
  if (minutes > 59 || total > 24 * 60) {
    return std::nullopt;
  }
  return std::chrono::minutes(total);
}

auto ParseWeekdays(const nlohmann::json& value)
    -> std::optional<std::vector<int>> {
  std::vector<int> weekdays;
  if (!value.is_array() || value.size() > 7) {
    return std::nullopt;
  }
  for (const nlohmann::json& day : value) {
    if (!day.is_number_unsigned() || day.get<std::uint64_t>() > 6) {
      return std::nullopt;
    }
    weekdays.push_back(day.get<int>());
  }
  return weekdays;
}

auto ParseWindow(const nlohmann::json& value)
    -> std::optional<MaintenanceWindow> {
  if (!value.is_object()) {
    return std::nullopt;
  }
  MaintenanceWindow window;
  for (const auto& [field, content] : value.items()) {
    if (field == "begin" || field == "end") {
      const auto time = ParseTimeOfDay(content);
      if (!time) {
        return std::nullopt;
      }
      (field == "begin" ? window.begin : window.end) = *time;
    } else if (field == "weekdays") {
      auto weekdays = ParseWeekdays(content);
      if (!weekdays) {
        return std::nullopt;
      }
      window.weekdays = std::move(*weekdays);
    }
  }
  return window;
}

auto FormatTimeOfDay(std::chrono::minutes time) -> std::string {
  return fmt::format("{:02}:{:02}", time.count() / 60, time.count() % 60);
}

}  // namespace

auto ReadWindows(FieldReader& reader, std::vector<MaintenanceWindow>& out)
    -> void {
  const nlohmann::json* value = reader.Find("windows");
  if (value == nullptr) {
    return;
  }
  if (!value->is_array()) {
    reader.AddFault("windows", "is not a list", kWindowForm);
    return;
  }
  out.clear();
  for (const nlohmann::json& item : *value) {
    if (auto window = ParseWindow(item)) {
      out.push_back(std::move(*window));
    } else {
      reader.AddFault(fmt::format("windows[{}]", out.size()),
                      "is not a maintenance window", kWindowForm);
      return;
    }
  }
}

auto EncodeWindows(const std::vector<MaintenanceWindow>& windows)
    -> nlohmann::json {
  nlohmann::json list = nlohmann::json::array();
  for (const MaintenanceWindow& window : windows) {
    list.push_back({{"begin", FormatTimeOfDay(window.begin)},
                    {"end", FormatTimeOfDay(window.end)},
                    {"weekdays", window.weekdays}});
  }
  return list;
}

}  // namespace fireflythread::internal
