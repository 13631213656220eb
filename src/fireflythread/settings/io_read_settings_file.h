#ifndef FIREFLYTHREAD_SETTINGS_IO_READ_SETTINGS_FILE_H_
#define FIREFLYTHREAD_SETTINGS_IO_READ_SETTINGS_FILE_H_

#include <string>
#include <variant>

#include "fireflythread/settings/settings_fault.h"

namespace fireflythread {

/// The text of a settings file, or why it cannot be read.
[[nodiscard]] auto ReadSettingsFile(const std::string& path)
    -> std::variant<std::string, SettingsFault>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_IO_READ_SETTINGS_FILE_H_
