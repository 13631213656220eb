#include "fireflythread/settings/settings_fault.h"

#include <fmt/format.h>

namespace fireflythread {

auto FormatFault(const SettingsFault& fault) -> std::string {
  std::string line = fault.file + ": ";
  if (!fault.section.empty()) {
    line += fmt::format("[{}] ", fault.section);
  }
  if (!fault.key.empty()) {
    line += fmt::format("{} = \"{}\": ", fault.key, fault.value);
  }
  line += fault.problem;
  if (!fault.allowed.empty()) {
    line += fmt::format("; allowed: {}", fault.allowed);
  }
  return line;
}

}  // namespace fireflythread
