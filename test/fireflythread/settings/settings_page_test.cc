#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <string>

#include "fireflythread/settings/setting_keys.h"
#include "test/fireflythread/settings/settings_text.h"

namespace fireflythread {
namespace {

auto ReadPage() -> std::string {
  std::ifstream file(test::SourceFile("docs/settings.md"));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

auto SectionOf(const std::string& page, std::string_view section)
    -> std::string {
  const std::size_t begin = page.find(fmt::format("## [{}]", section));
  if (begin == std::string::npos) {
    return {};
  }
  return page.substr(begin, page.find("\n## ", begin) - begin);
}

auto CountRows(const std::string& page) -> std::size_t {
  std::size_t rows = 0;
  for (std::size_t at = page.find("\n| `"); at != std::string::npos;
       at = page.find("\n| `", at + 1)) {
    ++rows;
  }
  return rows;
}

}  // namespace

// Guards against a page that leaves out a key or states a range or default
// that the program does not have.
TEST_CASE("docs/settings.md and the table of keys agree") {
  const std::string page = ReadPage();
  for (const SettingKey& key : SettingKeys()) {
    CHECK_THAT(
        SectionOf(page, key.section),
        Catch::Contains(fmt::format("\n| `{}` | {} | {} |", key.key,
                                    DescribeRange(key), DescribeDefault(key))));
  }
  // The member lines of [peers] have a row of their own.
  CHECK(CountRows(page) == SettingKeys().size() + 1);
}

}  // namespace fireflythread
