#include "bench/common/control_results.h"

#include <fmt/format.h>

#include <cstdio>
#include <fstream>

namespace fireflythread::bench {

auto PrintResults(const std::vector<ControlResult>& results) -> void {
  fmt::print("{:<17} {:<34} {:>11} {:>11} {:>11} {:>7}\n", "measure", "case",
             "baseline", "result", "bound", "ratio");
  for (const ControlResult& result : results) {
    fmt::print("{:<17} {:<34} {:>11.2f} {:>11.2f} {:>11.2f} {:>7.3f}\n",
               result.measure, result.name, result.baseline, result.result,
               result.bound, result.Ratio());
  }
}

auto WriteCsv(const std::vector<ControlResult>& results,
              const std::string& path) -> bool {
  if (path.empty()) {
    return true;
  }
  std::ofstream file(path);
  file << "measure,case,baseline,result,bound,ratio\n";
  for (const ControlResult& result : results) {
    file << fmt::format("{},{},{:.4f},{:.4f},{:.4f},{:.4f}\n", result.measure,
                        result.name, result.baseline, result.result,
                        result.bound, result.Ratio());
  }
  return file.good();
}

}  // namespace fireflythread::bench
