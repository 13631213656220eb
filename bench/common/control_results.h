#ifndef BENCH_COMMON_CONTROL_RESULTS_H_
#define BENCH_COMMON_CONTROL_RESULTS_H_

#include <string>
#include <vector>

namespace fireflythread::bench {

/// One line of a benchmark: the value of a baseline, of this program, and the
/// bound computed with full knowledge.
struct ControlResult {
  std::string measure;
  std::string name;
  double baseline = 0;
  double result = 0;
  double bound = 0;

  /// Result over bound; 0 without a bound.
  [[nodiscard]] auto Ratio() const -> double {
    return this->bound > 0 ? this->result / this->bound : 0;
  }
};

/// Prints the results as a table.
auto PrintResults(const std::vector<ControlResult>& results) -> void;

/// Writes `measure,case,baseline,result,bound,ratio` lines; no file for an
/// empty path. False when the file cannot be written.
[[nodiscard]] auto WriteCsv(const std::vector<ControlResult>& results,
                            const std::string& path) -> bool;

}  // namespace fireflythread::bench

#endif  // BENCH_COMMON_CONTROL_RESULTS_H_
