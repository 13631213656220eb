#include "fireflythread/jobs/shard_worker.h"

namespace fireflythread {

auto CountSiblings(const ShardWorker& worker, const TaskName& name) -> int {
  const TaskName first{name.job, name.occurrence, name.step, 0};
  int count = 0;
  for (auto next = worker.tasks.lower_bound(first);
       next != worker.tasks.end() && next->job == name.job &&
       next->occurrence == name.occurrence && next->step == name.step;
       ++next) {
    ++count;
  }
  return count;
}

}  // namespace fireflythread
