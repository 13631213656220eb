#include "fireflythread/jobs/configuration.h"

namespace fireflythread {

auto FindQueue(const Configuration& configuration,
               std::string_view host,
               std::string_view path) -> const Queue* {
  const Queue* best = nullptr;
  for (const Queue& queue : configuration.queues) {
    const bool matches =
        queue.host == host && path.starts_with(queue.path_prefix);
    if (matches && (best == nullptr ||
                    queue.path_prefix.size() > best->path_prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

}  // namespace fireflythread
