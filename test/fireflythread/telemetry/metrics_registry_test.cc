#include "fireflythread/telemetry/metrics_registry.h"

#include <catch2/catch.hpp>

namespace fireflythread {

using namespace std::chrono_literals;

// Guards against text that Prometheus cannot read.
TEST_CASE("metrics are rendered in Prometheus' text format") {
  MetricsRegistry registry;
  registry.GetCounter("b_total", "Requests.", {{"pool", "a\"b\n"}}).Add(2);
  registry.GetGauge("a_gauge", "Waiting.").Set(1.5);
  CHECK(registry.Render() ==
        "# HELP a_gauge Waiting.\n# TYPE a_gauge gauge\na_gauge 1.5\n"
        "# HELP b_total Requests.\n# TYPE b_total counter\n"
        "b_total{pool=\"a\\\"b\\n\"} 2\n");
}

// Guards against a second counter that hides the first.
TEST_CASE("the same name and labels give the same metric") {
  MetricsRegistry registry;
  Counter& first = registry.GetCounter("x_total", "X.", {{"pool", "a"}});
  Counter& other = registry.GetCounter("x_total", "X.", {{"pool", "b"}});
  CHECK(&first != &other);
  CHECK(&first == &registry.GetCounter("x_total", "", {{"pool", "a"}}));
}

// Guards against observations in a neighbouring bucket: `le` is inclusive.
TEST_CASE("a duration counts in the first bucket that holds it") {
  LatencyHistogram histogram;
  for (const Duration duration : {Duration(0), Duration(1ms), Duration(1100us),
                                  Duration(30s), Duration(31s)}) {
    histogram.Observe(duration);
  }
  const auto counts = histogram.CumulativeCounts();
  CHECK(counts[0] == 1);
  CHECK(counts[1] == 2);
  CHECK(counts[2] == 3);
  CHECK(counts.back() == 4);
  CHECK(histogram.Count() == 5);
  CHECK(histogram.Sum() == 61s + 2100us);
}

}  // namespace fireflythread
