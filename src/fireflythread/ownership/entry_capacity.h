#ifndef FIREFLYTHREAD_OWNERSHIP_ENTRY_CAPACITY_H_
#define FIREFLYTHREAD_OWNERSHIP_ENTRY_CAPACITY_H_

namespace fireflythread {

/// CPU and network capacity of the VM that an entry runs on. A value of 0 means
/// that it is unknown.
struct EntryCapacity {
  /// CPU in thousandths of a core: 1,000 is a whole core.
  int cpu_millicores = 0;
  /// Network link in megabits per second.
  int link_mbps = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_ENTRY_CAPACITY_H_
