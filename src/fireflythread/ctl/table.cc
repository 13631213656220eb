#include "fireflythread/ctl/table.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fireflythread::ctl {

Table::Table(std::vector<std::string> header) {
  this->rows.push_back(std::move(header));
}

auto Table::Add(std::vector<std::string> row) -> void {
  this->rows.push_back(std::move(row));
}

auto Table::Render() const -> std::string {
  std::vector<std::size_t> widths(this->rows.front().size(), 0);
  for (const auto& row : this->rows) {
    for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
      widths[i] = std::max(widths[i], Printable(row[i]).size());
    }
  }
  std::string text;
  for (const auto& row : this->rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size() && i < widths.size(); ++i) {
      line += fmt::format("{:<{}}  ", Printable(row[i]), widths[i]);
    }
    line.erase(line.find_last_not_of(' ') + 1);
    text += line + "\n";
  }
  return text;
}

auto Printable(std::string_view text) -> std::string {
  std::string printable(text);
  const auto is_control = [](unsigned char c) -> bool {
    return c < 0x20 || c == 0x7f;
  };
  std::ranges::replace_if(printable, is_control, '?');
  return printable;
}

}  // namespace fireflythread::ctl
