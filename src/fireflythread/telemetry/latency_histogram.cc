#include "fireflythread/telemetry/latency_histogram.h"

#include <algorithm>

namespace fireflythread {
namespace {

// Boost.Histogram's buckets are closed below, Prometheus' `le` is closed above.
// Negating both the bounds and the values turns one into the other.
auto NegatedBounds() -> std::vector<double> {
  std::vector<double> edges;
  for (const double bound : LatencyHistogram::Bounds()) {
    edges.push_back(-bound);
  }
  std::ranges::reverse(edges);
  edges.push_back(0.0);
  return edges;
}

}  // namespace

// Values below the lowest edge are longer than the last bound; they are only
// in `count`. The overflow bucket stays empty but for zero durations.
LatencyHistogram::LatencyHistogram() : buckets(Axis(NegatedBounds())) {}

auto LatencyHistogram::Bounds() -> const std::vector<double>& {
  static const std::vector<double> bounds{
      0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
      0.25,   0.5,   1.0,    2.5,   5.0,  10.0,  20.0, 30.0};
  return bounds;
}

auto LatencyHistogram::Observe(Duration duration) -> void {
  const Duration counted = std::max(duration, Duration(0));
  this->buckets(-std::chrono::duration<double>(counted).count());
  this->count += 1;
  this->sum += counted;
}

auto LatencyHistogram::Count() const -> std::uint64_t {
  return this->count;
}

auto LatencyHistogram::Sum() const -> Duration {
  return this->sum;
}

auto LatencyHistogram::CumulativeCounts() const -> std::vector<std::uint64_t> {
  const int last = static_cast<int>(Bounds().size()) - 1;
  // Index last + 1 is the overflow bucket, which holds durations of zero.
  std::uint64_t running = this->buckets.at(last + 1);
  std::vector<std::uint64_t> counts;
  for (int bucket = last; bucket >= 0; --bucket) {
    running += this->buckets.at(bucket);
    counts.push_back(running);
  }
  return counts;
}

}  // namespace fireflythread
