#include "fireflythread/settings/io_read_settings_file.h"

#include <glib.h>

namespace fireflythread {

auto ReadSettingsFile(const std::string& path)
    -> std::variant<std::string, SettingsFault> {
  gchar* contents = nullptr;
  gsize length = 0;
  GError* error = nullptr;
  if (!g_file_get_contents(path.c_str(), &contents, &length, &error)) {
    SettingsFault fault;
    fault.file = path;
    fault.problem = error->message;
    g_error_free(error);
    return fault;
  }
  std::string text(contents, length);
  g_free(contents);
  return text;
}

}  // namespace fireflythread
