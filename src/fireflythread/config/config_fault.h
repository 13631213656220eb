#ifndef FIREFLYTHREAD_CONFIG_CONFIG_FAULT_H_
#define FIREFLYTHREAD_CONFIG_CONFIG_FAULT_H_

#include <string>
#include <tuple>

namespace fireflythread {

/// One reason why an object is not acceptable, for an operator.
struct ConfigFault {
  /// The row key of the object, e.g. "service/orders".
  std::string object;
  /// The field within the object; empty when the fault is in the whole.
  std::string field;
  std::string problem;
  /// The values that the field may have, e.g. "a number from 0 to 4".
  std::string allowed;

  auto operator==(const ConfigFault&) const -> bool = default;
  [[nodiscard]] auto operator<(const ConfigFault& other) const -> bool {
    return std::tie(this->object, this->field, this->problem, this->allowed) <
           std::tie(other.object, other.field, other.problem, other.allowed);
  }
};

/// The fault in one line.
[[nodiscard]] auto Describe(const ConfigFault& fault) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CONFIG_FAULT_H_
