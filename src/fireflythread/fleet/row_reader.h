#ifndef FIREFLYTHREAD_FLEET_ROW_READER_H_
#define FIREFLYTHREAD_FLEET_ROW_READER_H_

#include <concepts>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fireflythread/fleet/row_error.h"
#include "fireflythread/platform/row.h"

namespace fireflythread::internal {

/// Reads typed fields from the JSON object in a row's value. Never throws; the
/// first missing or mistyped field is kept as the error and later reads give
/// defaults. Unknown fields are ignored, so that an older program can read the
/// rows of a newer one.
class RowReader {
 public:
  explicit RowReader(const Row& row);

  [[nodiscard]] auto Error() const -> const std::optional<RowError>& {
    return this->first_error;
  }

  /// Records an error unless there is one already.
  auto Fail(std::string reason) -> void;

  /// The text of a required field.
  [[nodiscard]] auto Text(std::string_view name) -> std::string;

  /// The text of an optional field; empty when it is absent.
  [[nodiscard]] auto OptionalText(std::string_view name) -> std::string;

  /// An optional list of texts; empty when it is absent.
  [[nodiscard]] auto OptionalTexts(std::string_view name)
      -> std::vector<std::string>;

  /// A required whole number that fits T.
  template <std::integral T>
  [[nodiscard]] auto Number(std::string_view name) -> T {
    const nlohmann::json* field = this->Find(name);
    if (field == nullptr) {
      this->Fail("field " + std::string(name) + " is missing");
      return T{};
    }
    return this->ToNumber<T>(*field, name);
  }

  /// An optional whole number that fits T; 0 when it is absent.
  template <std::integral T>
  [[nodiscard]] auto OptionalNumber(std::string_view name) -> T {
    const nlohmann::json* field = this->Find(name);
    return field == nullptr ? T{} : this->ToNumber<T>(*field, name);
  }

 private:
  [[nodiscard]] auto Find(std::string_view name) const -> const nlohmann::json*;

  template <std::integral T>
  auto ToNumber(const nlohmann::json& field, std::string_view name) -> T {
    if (field.is_number_unsigned()) {
      const auto value = field.get<std::uint64_t>();
      if (value <= static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
        return static_cast<T>(value);
      }
    }
    this->Fail("field " + std::string(name) +
               " is not a whole number in range");
    return T{};
  }

  std::string table;
  std::string key;
  nlohmann::json object;
  std::optional<RowError> first_error;
};

}  // namespace fireflythread::internal

#endif  // FIREFLYTHREAD_FLEET_ROW_READER_H_
