#ifndef FIREFLYTHREAD_SETTINGS_RAW_SETTING_H_
#define FIREFLYTHREAD_SETTINGS_RAW_SETTING_H_

#include <string>

namespace fireflythread {

/// One `key = value` line of a settings file. A section without keys is
/// represented by one RawSetting with an empty key.
struct RawSetting {
  std::string section;
  std::string key;
  std::string value;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_RAW_SETTING_H_
