#ifndef FIREFLYTHREAD_TELEMETRY_METRICS_REGISTRY_H_
#define FIREFLYTHREAD_TELEMETRY_METRICS_REGISTRY_H_

#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "fireflythread/telemetry/counter.h"
#include "fireflythread/telemetry/gauge.h"
#include "fireflythread/telemetry/latency_histogram.h"

namespace fireflythread {

/// The metrics of one process. Used by the main loop's thread only. References
/// stay valid as long as the registry; asking again for the same name and
/// labels gives the same metric. Names and help texts are in docs/logs.md.
class MetricsRegistry {
 public:
  using Labels = std::vector<std::pair<std::string, std::string>>;

  /// One name must keep one type; `help` is taken from the first call.
  [[nodiscard]] auto GetCounter(std::string_view name,
                                std::string_view help,
                                Labels labels = {}) -> Counter&;
  [[nodiscard]] auto GetGauge(std::string_view name,
                              std::string_view help,
                              Labels labels = {}) -> Gauge&;
  [[nodiscard]] auto GetHistogram(std::string_view name,
                                  std::string_view help,
                                  Labels labels = {}) -> LatencyHistogram&;

  /// All metrics in Prometheus' text format 0.0.4, sorted by name.
  [[nodiscard]] auto Render() const -> std::string;

 private:
  using Metric = std::variant<Counter, Gauge, LatencyHistogram>;

  struct Family {
    std::string help;
    std::map<Labels, Metric> metrics;
  };

  template <typename T>
  [[nodiscard]] auto Get(std::string_view name,
                         std::string_view help,
                         Labels labels) -> T&;

  std::map<std::string, Family, std::less<>> families;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_METRICS_REGISTRY_H_
