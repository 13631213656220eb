#include "fireflythread/ctl/json_text.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace fireflythread::ctl {

auto Text(const nlohmann::json& value) -> std::string {
  if (value.is_null()) {
    return "-";
  }
  if (value.is_string()) {
    const auto& text = value.get_ref<const std::string&>();
    return text.empty() ? "-" : text;
  }
  if (value.is_number_float()) {
    return fmt::format("{:.6g}", value.get<double>());
  }
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto Text(const nlohmann::json& json, const std::string& key) -> std::string {
  const bool has_key = json.is_object() && json.contains(key);
  return has_key ? Text(json.at(key)) : "-";
}

auto Number(const nlohmann::json& json, const std::string& key) -> double {
  const bool has_number =
      json.is_object() && json.contains(key) && json.at(key).is_number();
  return has_number ? json.at(key).get<double>() : 0;
}

auto List(const nlohmann::json& json, const std::string& key)
    -> const nlohmann::json& {
  static const nlohmann::json empty = nlohmann::json::array();
  const bool has_list =
      json.is_object() && json.contains(key) && json.at(key).is_array();
  return has_list ? json.at(key) : empty;
}

}  // namespace fireflythread::ctl
