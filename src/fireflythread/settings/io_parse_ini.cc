#include "fireflythread/settings/io_parse_ini.h"

#include <glib.h>

#include <memory>

namespace fireflythread {
namespace {

struct FreeKeyFile {
  auto operator()(GKeyFile* file) const -> void { g_key_file_free(file); }
};
struct FreeNames {
  auto operator()(gchar** names) const -> void { g_strfreev(names); }
};
struct FreeText {
  auto operator()(gchar* text) const -> void { g_free(text); }
};
using KeyFile = std::unique_ptr<GKeyFile, FreeKeyFile>;
using Names = std::unique_ptr<gchar*, FreeNames>;
using Text = std::unique_ptr<gchar, FreeText>;

auto ReadSection(GKeyFile* file,
                 const char* section,
                 std::vector<RawSetting>& lines) -> void {
  const Names keys(g_key_file_get_keys(file, section, nullptr, nullptr));
  if (!keys || *keys == nullptr) {
    lines.push_back(RawSetting{section, "", ""});
    return;
  }
  for (gchar** key = keys.get(); *key != nullptr; ++key) {
    const Text value(g_key_file_get_value(file, section, *key, nullptr));
    std::string text = value ? value.get() : "";
    // GKeyFile keeps spaces at the end of a value.
    text.erase(text.find_last_not_of(" \t\r") + 1);
    lines.push_back(RawSetting{section, *key, std::move(text)});
  }
}

}  // namespace

auto ParseIni(std::string_view file, const std::string& text)
    -> std::variant<std::vector<RawSetting>, SettingsFault> {
  const KeyFile parsed(g_key_file_new());
  GError* error = nullptr;
  if (!text.empty() &&
      !g_key_file_load_from_data(parsed.get(), text.data(), text.size(),
                                 G_KEY_FILE_NONE, &error)) {
    SettingsFault fault;
    fault.file = file;
    fault.problem = error->message;
    g_error_free(error);
    return fault;
  }
  std::vector<RawSetting> lines;
  const Names sections(g_key_file_get_groups(parsed.get(), nullptr));
  for (gchar** section = sections.get(); *section != nullptr; ++section) {
    ReadSection(parsed.get(), *section, lines);
  }
  return lines;
}

}  // namespace fireflythread
