#ifndef TEST_FIREFLYTHREAD_SETTINGS_SETTINGS_TEXT_H_
#define TEST_FIREFLYTHREAD_SETTINGS_SETTINGS_TEXT_H_

#include <filesystem>
#include <string>

namespace fireflythread::test {

/// A file of the source tree. Tests run from its root or from a folder below.
inline auto SourceFile(const std::string& name) -> std::string {
  auto root = std::filesystem::current_path();
  while (!std::filesystem::exists(root / "docs/design.md") &&
         root != root.root_path()) {
    root = root.parent_path();
  }
  return (root / name).string();
}

/// A complete file to which a test adds lines of further sections.
inline auto MinimalSettings() -> std::string {
  return "[entry]\nid = entry-1\nzone = nelson-yard\n"
         "caller_listen = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n"
         "[platform]\naddress = 127.0.0.1:9000\n"
         "[peers]\nlisten = 127.0.0.1:7001\nentry-1 = 127.0.0.1:7001\n"
         "entry-2 = 127.0.0.1:7002\n"
         "[admin]\ntoken_file = /etc/fireflythread/admin.tokens\n";
}

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_SETTINGS_SETTINGS_TEXT_H_
