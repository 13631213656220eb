#ifndef FIREFLYTHREAD_JOBS_CONFIGURATION_H_
#define FIREFLYTHREAD_JOBS_CONFIGURATION_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/queue.h"

namespace fireflythread {

/// A service: the pool of VMs that runs the tasks of its queues.
struct PoolService {
  ServiceName name;
  /// VMs of the spare pool are off and run nothing.
  bool spare = false;
  /// Workers refuse what exceeds their capacity.
  bool guards_capacity = false;
};

/// The operators' configuration, whole.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<PoolService> services;
};

/// The queue with this host and the longest prefix of the path; null when
/// there is none.
[[nodiscard]] auto FindQueue(const Configuration& configuration,
                             std::string_view host,
                             std::string_view path) -> const Queue*;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_CONFIGURATION_H_
