#include "fireflythread/settings/io_load_settings.h"

#include <vector>

#include "fireflythread/settings/io_parse_ini.h"
#include "fireflythread/settings/io_read_settings_file.h"

namespace fireflythread {

auto ParseSettings(std::string_view file, const std::string& text)
    -> SettingsResult {
  const auto parsed = ParseIni(file, text);
  if (const auto* fault = std::get_if<SettingsFault>(&parsed)) {
    return std::vector<SettingsFault>{*fault};
  }
  return DecodeSettings(file, std::get<std::vector<RawSetting>>(parsed));
}

auto LoadSettings(const std::string& path) -> SettingsResult {
  const auto read = ReadSettingsFile(path);
  if (const auto* fault = std::get_if<SettingsFault>(&read)) {
    return std::vector<SettingsFault>{*fault};
  }
  return ParseSettings(path, std::get<std::string>(read));
}

}  // namespace fireflythread
