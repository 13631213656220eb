#ifndef FIREFLYTHREAD_JOBS_CONFIGURATION_H_
#define FIREFLYTHREAD_JOBS_CONFIGURATION_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/jobs/organisation.h"
#include "fireflythread/jobs/queue.h"

namespace fireflythread {

/// A service: a pool of VMs that runs the tasks of its queues.
struct PoolService {
  ServiceName name;
  /// The VMs of a spare pool are powered off and run nothing.
  bool spare = false;
  /// Workers reject starts that exceed their capacity.
  bool guards_capacity = false;
};

/// The complete configuration that operators maintain.
struct Configuration {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<PoolService> services;
  /// Callers of queues that are not public must send an organisation's key. In
  /// a configuration without organisations no keys are checked.
  bool requires_keys = false;
  std::vector<Organisation> organisations = {};
  /// Entries of the list of organisations that could not be read.
  int unreadable_organisations = 0;
};

/// Returns the queue with this host and the longest matching path prefix, or
/// null when no queue matches.
[[nodiscard]] auto FindQueue(const Configuration& configuration,
                             std::string_view host,
                             std::string_view path) -> const Queue*;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_CONFIGURATION_H_
