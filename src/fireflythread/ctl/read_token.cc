#include "fireflythread/ctl/read_token.h"

#include <sstream>

namespace fireflythread::ctl {

auto ReadToken(std::string_view text) -> std::string {
  std::istringstream lines{std::string(text)};
  std::string line;
  while (std::getline(lines, line)) {
    std::istringstream words(line);
    std::string word;
    std::string last;
    while (words >> word) {
      if (last.empty() && word.starts_with('#')) {
        break;
      }
      last = word;
    }
    if (!last.empty()) {
      return last;
    }
  }
  return {};
}

}  // namespace fireflythread::ctl
