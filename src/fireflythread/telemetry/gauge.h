#ifndef FIREFLYTHREAD_TELEMETRY_GAUGE_H_
#define FIREFLYTHREAD_TELEMETRY_GAUGE_H_

namespace fireflythread {

/// A number that goes up and down.
class Gauge {
 public:
  auto Set(double new_value) -> void { this->value = new_value; }
  auto Add(double amount) -> void { this->value += amount; }
  [[nodiscard]] auto Value() const -> double { return this->value; }

 private:
  double value = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_GAUGE_H_
