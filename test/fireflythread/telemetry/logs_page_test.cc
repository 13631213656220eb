#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>
#include <string>

#include "test/fireflythread/settings/settings_text.h"

namespace fireflythread {
namespace {

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

// Guards against events and metrics that operators cannot look up.
TEST_CASE("docs/logs.md lists every event and metric") {
  const std::string page = ReadFile(test::SourceFile("docs/logs.md"));
  const std::regex name(
      R"re((?:(?:Debug|Info|Warning|Error)\(\s*[\w"]+,|\.event =)\s*"(\w+)"|"(fireflythread_\w+)")re");
  int found = 0;
  std::string missing;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(
           test::SourceFile("src/fireflythread"))) {
    if (entry.path().extension() != ".cc") {
      continue;
    }
    const std::string text = ReadFile(entry.path());
    for (std::sregex_iterator match(text.begin(), text.end(), name), end;
         match != end; ++match) {
      const std::string listed =
          (*match)[1].matched ? (*match)[1].str() : (*match)[2].str();
      if (page.find("`" + listed + "`") == std::string::npos) {
        missing += listed + " in " + entry.path().filename().string() + "\n";
      }
      ++found;
    }
  }
  CHECK(missing == "");
  // So that the expression cannot cease to match without notice.
  CHECK(found > 30);
}

}  // namespace fireflythread
