#ifndef FIREFLYTHREAD_TELEMETRY_COUNTER_H_
#define FIREFLYTHREAD_TELEMETRY_COUNTER_H_

#include <cstdint>

namespace fireflythread {

/// A number that only grows.
class Counter {
 public:
  auto Add(std::uint64_t amount = 1) -> void { this->total += amount; }
  [[nodiscard]] auto Total() const -> std::uint64_t { return this->total; }

 private:
  std::uint64_t total = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TELEMETRY_COUNTER_H_
