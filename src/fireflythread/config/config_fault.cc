#include "fireflythread/config/config_fault.h"

namespace fireflythread {

auto Describe(const ConfigFault& fault) -> std::string {
  std::string text = fault.object;
  if (!fault.field.empty()) {
    text += ": " + fault.field;
  }
  text += ": " + fault.problem;
  if (!fault.allowed.empty()) {
    text += " (allowed: " + fault.allowed + ")";
  }
  return text;
}

}  // namespace fireflythread
