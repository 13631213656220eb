#include "fireflythread/settings/io_load_settings.h"

#include <glib.h>

#include <vector>

#include "fireflythread/settings/io_parse_ini.h"

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
  gchar* contents = nullptr;
  gsize length = 0;
  GError* error = nullptr;
  if (!g_file_get_contents(path.c_str(), &contents, &length, &error)) {
    SettingsFault fault;
    fault.file = path;
    fault.problem = error->message;
    g_error_free(error);
    return std::vector<SettingsFault>{fault};
  }
  const std::string text(contents, length);
  g_free(contents);
  return ParseSettings(path, text);
}

}  // namespace fireflythread
