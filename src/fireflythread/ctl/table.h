#ifndef FIREFLYTHREAD_CTL_TABLE_H_
#define FIREFLYTHREAD_CTL_TABLE_H_

#include <string>
#include <string_view>
#include <vector>

namespace fireflythread::ctl {

/// Columns of text, each as wide as its widest cell.
class Table {
 public:
  explicit Table(std::vector<std::string> header);

  auto Add(std::vector<std::string> row) -> void;

  /// The header and the rows, one a line.
  [[nodiscard]] auto Render() const -> std::string;

 private:
  std::vector<std::vector<std::string>> rows;
};

/// Text without control characters, which could change the terminal.
[[nodiscard]] auto Printable(std::string_view text) -> std::string;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_TABLE_H_
