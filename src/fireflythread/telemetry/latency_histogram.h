#ifndef FIREFLYTHREAD_TELEMETRY_LATENCY_HISTOGRAM_H_
#define FIREFLYTHREAD_TELEMETRY_LATENCY_HISTOGRAM_H_

#include <boost/histogram.hpp>
#include <cstdint>
#include <tuple>
#include <vector>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Counts durations in fixed buckets from 0.5 ms to 30 s, the longest request.
/// The factor between bounds is at most 2.5, fine enough to tell a 99.9%
/// budget at the deadlines that services use.
class LatencyHistogram {
 public:
  LatencyHistogram();

  auto Observe(Duration duration) -> void;

  [[nodiscard]] auto Count() const -> std::uint64_t;
  [[nodiscard]] auto Sum() const -> Duration;

  /// Upper bounds of the buckets in seconds, without the last, unbounded one.
  [[nodiscard]] static auto Bounds() -> const std::vector<double>&;

  /// How many observations were at or below each of Bounds().
  [[nodiscard]] auto CumulativeCounts() const -> std::vector<std::uint64_t>;

 private:
  using Axis = boost::histogram::axis::variable<
      double,
      boost::histogram::use_default,
      boost::histogram::axis::option::bitset<
          boost::histogram::axis::option::overflow_t::value>>;
  using Storage = boost::histogram::dense_storage<std::uint64_t>;
  using Buckets = boost::histogram::histogram<std::tuple<Axis>, Storage>;

  Buckets buckets;
  std::uint64_t count = 0;
  Duration sum{0};
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_LATENCY_HISTOGRAM_H_
