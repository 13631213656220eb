#ifndef FIREFLYTHREAD_SETTINGS_IO_PARSE_INI_H_
#define FIREFLYTHREAD_SETTINGS_IO_PARSE_INI_H_

#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fireflythread/settings/raw_setting.h"
#include "fireflythread/settings/settings_fault.h"

namespace fireflythread {

/// Splits INI text into its lines with GKeyFile. A key that is given twice has
/// its last value, as GKeyFile defines it. `file` is the name in a fault.
[[nodiscard]] auto ParseIni(std::string_view file, const std::string& text)
    -> std::variant<std::vector<RawSetting>, SettingsFault>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_SETTINGS_IO_PARSE_INI_H_
