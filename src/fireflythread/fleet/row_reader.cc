#include "fireflythread/fleet/row_reader.h"

#include <utility>

namespace fireflythread::internal {

RowReader::RowReader(const Row& row)
    : table(row.table),
      key(row.key),
      object(nlohmann::json::parse(row.value,
                                   /*cb=*/nullptr,
                                   /*allow_exceptions=*/false)) {
  if (!this->object.is_object()) {
    this->Fail("the value is not a JSON object");
  }
}

auto RowReader::Fail(std::string reason) -> void {
  if (!this->first_error.has_value()) {
    this->first_error = RowError{this->table, this->key, std::move(reason)};
  }
}

auto RowReader::Find(std::string_view name) const -> const nlohmann::json* {
  if (!this->object.is_object()) {
    return nullptr;
  }
  const auto found = this->object.find(name);
  return found == this->object.end() ? nullptr : &*found;
}

auto RowReader::Text(std::string_view name) -> std::string {
  if (this->Find(name) == nullptr) {
    this->Fail("field " + std::string(name) + " is missing");
    return {};
  }
  return this->OptionalText(name);
}

auto RowReader::OptionalText(std::string_view name) -> std::string {
  const nlohmann::json* field = this->Find(name);
  if (field == nullptr) {
    return {};
  }
  if (!field->is_string()) {
    this->Fail("field " + std::string(name) + " is not text");
    return {};
  }
  return field->get<std::string>();
}

auto RowReader::OptionalTexts(std::string_view name)
    -> std::vector<std::string> {
  std::vector<std::string> texts;
  const nlohmann::json* field = this->Find(name);
  if (field == nullptr) {
    return texts;
  }
  if (!field->is_array()) {
    this->Fail("field " + std::string(name) + " is not a list");
    return texts;
  }
  for (const nlohmann::json& item : *field) {
    if (!item.is_string()) {
      this->Fail("field " + std::string(name) + " holds an item not text");
      return {};
    }
    texts.push_back(item.get<std::string>());
  }
  return texts;
}

}  // namespace fireflythread::internal
