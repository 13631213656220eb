#include "fireflythread/config/field_reader.h"

#include <fmt/format.h>

#include <limits>
#include <utility>

#include "fireflythread/config/config_kind.h"

namespace fireflythread::internal {

FieldReader::FieldReader(std::string object_key, const std::string& text)
    : object(std::move(object_key)),
      json(nlohmann::json::parse(text, nullptr, false)) {
  if (!this->IsObject()) {
    this->AddFault("", "is not a JSON object", "a JSON object");
  }
}

auto FieldReader::IsObject() const -> bool {
  return this->json.is_object();
}

auto FieldReader::Real(const char* field, double low, double high, double& out)
    -> void {
  const nlohmann::json* value = this->Find(field);
  if (value == nullptr) {
    return;
  }
  const double number = value->is_number()
                            ? value->get<double>()
                            : std::numeric_limits<double>::quiet_NaN();
  // Written so that a NaN fails too.
  if (!(number >= low && number <= high)) {
    this->AddFault(field, "is out of range or not a number",
                   fmt::format("a number from {} to {}", low, high));
    return;
  }
  out = number;
}

auto FieldReader::Integer(const char* field,
                          std::int64_t low,
                          std::int64_t high,
                          std::int64_t& out) -> void {
  const nlohmann::json* value = this->Find(field);
  if (value == nullptr) {
    return;
  }
  // An unsigned number above the signed range would wrap in get<int64_t>.
  const bool fits = value->is_number_integer() &&
                    (!value->is_number_unsigned() ||
                     value->get<std::uint64_t>() <=
                         static_cast<std::uint64_t>(
                             std::numeric_limits<std::int64_t>::max()));
  const std::int64_t number = fits ? value->get<std::int64_t>() : 0;
  if (!fits || number < low || number > high) {
    this->AddFault(field, "is out of range or not a whole number",
                   fmt::format("a whole number from {} to {}", low, high));
    return;
  }
  out = number;
}

auto FieldReader::Integer(const char* field, int low, int high, int& out)
    -> void {
  std::int64_t wide = out;
  this->Integer(field, static_cast<std::int64_t>(low),
                static_cast<std::int64_t>(high), wide);
  out = static_cast<int>(wide);
}

auto FieldReader::Flag(const char* field, bool& out) -> void {
  const nlohmann::json* value = this->Find(field);
  if (value == nullptr) {
    return;
  }
  if (!value->is_boolean()) {
    this->AddFault(field, "is not a truth value", "true or false");
    return;
  }
  out = value->get<bool>();
}

auto FieldReader::Name(const char* field, std::string& out) -> void {
  const nlohmann::json* value = this->Find(field);
  if (!this->IsObject()) {
    return;
  }
  if (value == nullptr || !value->is_string() ||
      !IsValidName(value->get_ref<const std::string&>())) {
    this->AddFault(field, value == nullptr ? "is missing" : "is not a name",
                   "1 to 63 of a-z, 0-9 and inner hyphens");
    return;
  }
  out = value->get<std::string>();
}

auto FieldReader::Find(const char* field) -> const nlohmann::json* {
  this->known.emplace(field);
  if (!this->IsObject()) {
    return nullptr;
  }
  const auto found = this->json.find(field);
  return found == this->json.end() ? nullptr : &*found;
}

auto FieldReader::AddFault(std::string field,
                           std::string problem,
                           std::string allowed) -> void {
  this->faults.push_back({.object = this->object,
                          .field = std::move(field),
                          .problem = std::move(problem),
                          .allowed = std::move(allowed)});
}

auto FieldReader::RejectUnknownFields() -> void {
  if (!this->IsObject()) {
    return;
  }
  for (const auto& [field, value] : this->json.items()) {
    if (!this->known.contains(field)) {
      this->AddFault(field, "is not a field of this object", "");
    }
  }
}

auto FieldReader::TakeFaults() -> std::vector<ConfigFault> {
  return std::exchange(this->faults, {});
}

}  // namespace fireflythread::internal
