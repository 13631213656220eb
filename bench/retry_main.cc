// Measures how much retries amplify the load of a failing pool, with the retry
// budget and without it. Everything is computed from a fixed seed.

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <string>
#include <vector>

#include "bench/common/csv_file.h"
#include "fireflythread/base/random.h"
#include "fireflythread/retry/retry_budget.h"
#include "fireflythread/retry/retry_policy.h"

DEFINE_string(csv, "", "file for the rows measure,case,baseline,result,...");
DEFINE_uint64(seed, 20261204, "seed of the random source");
DEFINE_int32(requests, 100000, "requests for each case (1 to 1e8)");

namespace fireflythread {
namespace {

constexpr double kAmplificationBound = 1.1;
/// Attempts for each request without a budget.
constexpr int kMaxAttempts = 4;

struct Result {
  double amplification = 0;
  double answered = 0;
};

/// Each attempt fails with `failure_rate`.
auto Run(double failure_rate, bool with_budget) -> Result {
  Random random(FLAGS_seed);
  RetryBudget budget;
  std::bernoulli_distribution fails(failure_rate);
  int attempts = 0;
  int answered = 0;
  for (int i = 0; i < FLAGS_requests; ++i) {
    budget.CountFirstAttempt();
    for (int attempt = 1; attempt <= kMaxAttempts; ++attempt) {
      ++attempts;
      const bool failed = fails(random);
      answered += failed ? 0 : 1;
      const RetryFacts facts{
          true, failed ? AttemptResult::kUnknown : AttemptResult::kAnswered,
          std::chrono::seconds(1), std::chrono::milliseconds(10)};
      if (!MayRetry(facts) || (with_budget && !budget.TryTake())) {
        break;
      }
    }
  }
  return {static_cast<double>(attempts) / FLAGS_requests,
          static_cast<double>(answered) / FLAGS_requests};
}

auto RunAll() -> void {
  CsvFile csv(FLAGS_csv);
  fmt::print(
      "attempts for each request (answered), seed {}\n{:<14}{:>20}{:>20}\n",
      FLAGS_seed, "failing", "without budget", "with budget");
  for (const double rate : {0.01, 0.05, 0.3, 1.0}) {
    const Result before = Run(rate, false);
    const Result now = Run(rate, true);
    const std::string name =
        fmt::format("{:.0f}% of attempts fail", rate * 100);
    fmt::print("{:<14}{:>11.3f} ({:.4f}){:>11.3f} ({:.4f})\n",
               fmt::format("{:.0f}%", rate * 100), before.amplification,
               before.answered, now.amplification, now.answered);
    csv.Add("retry_amplification", name, before.amplification,
            now.amplification, kAmplificationBound,
            now.amplification / kAmplificationBound);
    csv.Add("retry_answered", name, before.answered, now.answered, 0, 0);
  }
}

}  // namespace
}  // namespace fireflythread

auto main(int argc, char** argv) -> int {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  fireflythread::RunAll();
  return 0;
}
