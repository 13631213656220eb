#include "fireflythread/telemetry/metrics_registry.h"

#include <fmt/format.h>

#include "fireflythread/base/assert.h"

namespace fireflythread {
namespace {

auto EscapeLabel(std::string_view text) -> std::string {
  std::string escaped;
  for (const char c : text) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
      escaped += c;
    } else if (c == '\n') {
      escaped += "\\n";
    } else {
      escaped += c;
    }
  }
  return escaped;
}

auto FormatLabels(const MetricsRegistry::Labels& labels) -> std::string {
  std::string text;
  for (const auto& [name, value] : labels) {
    text += text.empty() ? "{" : ",";
    text += fmt::format("{}=\"{}\"", name, EscapeLabel(value));
  }
  return text.empty() ? text : text + "}";
}

auto RenderSample(std::string_view name,
                  const MetricsRegistry::Labels& labels,
                  const Counter& counter) -> std::string {
  return fmt::format("{}{} {}\n", name, FormatLabels(labels), counter.Total());
}

auto RenderSample(std::string_view name,
                  const MetricsRegistry::Labels& labels,
                  const Gauge& gauge) -> std::string {
  return fmt::format("{}{} {}\n", name, FormatLabels(labels), gauge.Value());
}

auto RenderBucket(std::string_view name,
                  MetricsRegistry::Labels labels,
                  std::string bound,
                  std::uint64_t count) -> std::string {
  labels.emplace_back("le", std::move(bound));
  return fmt::format("{}_bucket{} {}\n", name, FormatLabels(labels), count);
}

auto RenderSample(std::string_view name,
                  const MetricsRegistry::Labels& labels,
                  const LatencyHistogram& histogram) -> std::string {
  std::string text;
  const auto& bounds = LatencyHistogram::Bounds();
  const auto counts = histogram.CumulativeCounts();
  for (std::size_t i = 0; i < bounds.size(); ++i) {
    text += RenderBucket(name, labels, fmt::format("{}", bounds[i]), counts[i]);
  }
  text += RenderBucket(name, labels, "+Inf", histogram.Count());
  const std::chrono::duration<double> sum = histogram.Sum();
  const std::string label_text = FormatLabels(labels);
  text += fmt::format("{}_sum{} {}\n", name, label_text, sum.count());
  text += fmt::format("{}_count{} {}\n", name, label_text, histogram.Count());
  return text;
}

auto TypeName(const Counter& /*metric*/) -> std::string_view {
  return "counter";
}
auto TypeName(const Gauge& /*metric*/) -> std::string_view {
  return "gauge";
}
auto TypeName(const LatencyHistogram& /*metric*/) -> std::string_view {
  return "histogram";
}

template <typename Metric>
auto RenderFamily(std::string_view name,
                  std::string_view help,
                  const std::map<MetricsRegistry::Labels, Metric>& metrics)
    -> std::string {
  const std::string_view type = std::visit(
      [](const auto& metric) -> std::string_view { return TypeName(metric); },
      metrics.begin()->second);
  std::string text =
      fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
  for (const auto& entry : metrics) {
    text += std::visit(
        [&](const auto& sample) -> std::string {
          return RenderSample(name, entry.first, sample);
        },
        entry.second);
  }
  return text;
}

}  // namespace

template <typename T>
auto MetricsRegistry::Get(std::string_view name,
                          std::string_view help,
                          Labels labels) -> T& {
  Family& family = this->families.try_emplace(std::string(name)).first->second;
  if (family.help.empty()) {
    family.help = help;
  }
  const auto [place, inserted] =
      family.metrics.try_emplace(std::move(labels), T());
  T* metric = std::get_if<T>(&place->second);
  FIREFLYTHREAD_ASSERT(metric != nullptr, "a metric name keeps its type");
  return *metric;
}

auto MetricsRegistry::GetCounter(std::string_view name,
                                 std::string_view help,
                                 Labels labels) -> Counter& {
  return this->Get<Counter>(name, help, std::move(labels));
}

auto MetricsRegistry::GetGauge(std::string_view name,
                               std::string_view help,
                               Labels labels) -> Gauge& {
  return this->Get<Gauge>(name, help, std::move(labels));
}

auto MetricsRegistry::GetHistogram(std::string_view name,
                                   std::string_view help,
                                   Labels labels) -> LatencyHistogram& {
  return this->Get<LatencyHistogram>(name, help, std::move(labels));
}

auto MetricsRegistry::Render() const -> std::string {
  std::string text;
  for (const auto& [name, family] : this->families) {
    text += RenderFamily(name, family.help, family.metrics);
  }
  return text;
}

}  // namespace fireflythread
