#ifndef FIREFLYTHREAD_CONFIG_FIELD_READER_H_
#define FIREFLYTHREAD_CONFIG_FIELD_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "fireflythread/config/config_fault.h"

namespace fireflythread::internal {

/// Reads the fields of one JSON object into typed members and collects every
/// fault instead of stopping at the first. A member whose field is absent or
/// faulty keeps its value.
class FieldReader {
 public:
  /// `object` is the row key that the faults name.
  FieldReader(std::string object, const std::string& text);

  /// False when the text is not a JSON object; the fault is already recorded.
  [[nodiscard]] auto IsObject() const -> bool;

  auto Real(const char* field, double low, double high, double& out) -> void;
  auto Integer(const char* field,
               std::int64_t low,
               std::int64_t high,
               std::int64_t& out) -> void;
  auto Integer(const char* field, int low, int high, int& out) -> void;
  auto Flag(const char* field, bool& out) -> void;
  /// A required name of another object.
  auto Name(const char* field, std::string& out) -> void;
  /// The field's JSON value, or nullptr when it is absent.
  [[nodiscard]] auto Find(const char* field) -> const nlohmann::json*;

  auto AddFault(std::string field, std::string problem, std::string allowed)
      -> void;
  /// Records a fault for each field that was not asked for.
  auto RejectUnknownFields() -> void;
  [[nodiscard]] auto TakeFaults() -> std::vector<ConfigFault>;

 private:
  std::string object;
  nlohmann::json json;
  std::set<std::string> known;
  std::vector<ConfigFault> faults;
};

}  // namespace fireflythread::internal

#endif  // FIREFLYTHREAD_CONFIG_FIELD_READER_H_
