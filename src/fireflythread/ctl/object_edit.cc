#include "fireflythread/ctl/object_edit.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <set>

#include "fireflythread/ctl/json_text.h"
#include "fireflythread/ctl/table.h"

namespace fireflythread::ctl {

auto ApplyFields(const std::vector<std::string>& arguments,
                 nlohmann::json& object) -> std::optional<std::string> {
  for (const std::string& argument : arguments) {
    const std::size_t equals = argument.find('=');
    if (equals == 0 || equals == std::string::npos) {
      return argument;
    }
    const std::string key = argument.substr(0, equals);
    const std::string text = argument.substr(equals + 1);
    const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (text.empty()) {
      object.erase(key);
    } else if (value.is_discarded()) {
      object[key] = text;
    } else {
      object[key] = value;
    }
  }
  return std::nullopt;
}

auto RenderConflict(const nlohmann::json& mine, const nlohmann::json& error)
    -> std::string {
  const nlohmann::json current =
      error.contains("current") && error["current"].is_object()
          ? error["current"]
          : nlohmann::json::object();
  std::set<std::string> keys;
  for (const auto* object : {&mine, &current}) {
    for (const auto& item : object->items()) {
      keys.insert(item.key());
    }
  }
  // These are not edited.
  for (const char* key : {"name", "version", "status"}) {
    keys.erase(key);
  }
  Table table(
      {"FIELD",
       fmt::format("YOURS (from version {})", Text(error, "expected_version")),
       fmt::format("CURRENT (version {})", Text(error, "current_version"))});
  for (const std::string& key : keys) {
    if (Text(mine, key) != Text(current, key)) {
      table.Add({key, Text(mine, key), Text(current, key)});
    }
  }
  return table.Render();
}

}  // namespace fireflythread::ctl
