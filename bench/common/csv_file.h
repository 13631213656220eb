#ifndef FIREFLYTHREAD_BENCH_COMMON_CSV_FILE_H_
#define FIREFLYTHREAD_BENCH_COMMON_CSV_FILE_H_

#include <fmt/format.h>

#include <fstream>
#include <string>

namespace fireflythread {

/// Writes rows `measure,case,baseline,result,bound,ratio`; an empty path
/// writes none.
class CsvFile {
 public:
  explicit CsvFile(const std::string& path) {
    if (!path.empty()) {
      this->file.open(path);
      this->file << "measure,case,baseline,result,bound,ratio\n";
    }
  }

  auto Add(const std::string& measure,
           const std::string& name,
           double baseline,
           double result,
           double bound,
           double ratio) -> void {
    if (this->file.is_open()) {
      this->file << fmt::format("{},{},{:.4f},{:.4f},{:.4f},{:.4f}\n", measure,
                                name, baseline, result, bound, ratio);
    }
  }

 private:
  std::ofstream file;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BENCH_COMMON_CSV_FILE_H_
