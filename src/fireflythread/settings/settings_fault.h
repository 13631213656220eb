#ifndef FIREFLYTHREAD_SETTINGS_SETTINGS_FAULT_H_
#define FIREFLYTHREAD_SETTINGS_SETTINGS_FAULT_H_

#include <string>

namespace fireflythread {

/// One thing wrong with a settings file. `key` is empty when a whole section
/// or the file is meant; `allowed` is empty when no range applies.
struct SettingsFault {
  std::string file;
  std::string section;
  std::string key;
  std::string value;
  std::string problem;
  std::string allowed;
};

/// One line for the operator: file, section, key, given value, problem and
/// allowed range.
[[nodiscard]] auto FormatFault(const SettingsFault& fault) -> std::string;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_SETTINGS_FAULT_H_
