#ifndef FIREFLYTHREAD_CONFIG_SERVICE_SPEC_H_
#define FIREFLYTHREAD_CONFIG_SERVICE_SPEC_H_

#include <chrono>
#include <cstdint>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// A service that callers name, the pool that serves it and the profile it
/// picked.
struct ServiceSpec {
  ServiceName name;
  std::uint64_t version = 0;
  PoolName pool;
  ProfileName profile;
  /// Deadline of a request that states none (1 ms to 30 s).
  std::chrono::milliseconds default_deadline{5000};

  auto operator==(const ServiceSpec&) const -> bool = default;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_SERVICE_SPEC_H_
