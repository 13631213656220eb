#ifndef FIREFLYTHREAD_SETTINGS_IO_LOAD_SETTINGS_H_
#define FIREFLYTHREAD_SETTINGS_IO_LOAD_SETTINGS_H_

#include <string>
#include <string_view>

#include "fireflythread/settings/decode_settings.h"

namespace fireflythread {

/// Parses and checks the text of a settings file. `file` is the name reported
/// in faults.
[[nodiscard]] auto ParseSettings(std::string_view file, const std::string& text)
    -> SettingsResult;

/// Reads, parses and checks a settings file.
[[nodiscard]] auto LoadSettings(const std::string& path) -> SettingsResult;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_IO_LOAD_SETTINGS_H_
