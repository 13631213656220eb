#ifndef FIREFLYTHREAD_OWNERSHIP_ENTRY_CAPACITY_H_
#define FIREFLYTHREAD_OWNERSHIP_ENTRY_CAPACITY_H_

namespace fireflythread {

/// What an entry's VM offers. 0 stands for what is not known.
struct EntryCapacity {
  /// 1,000 are a whole core.
  int cpu_millicores = 0;
  /// Megabits a second.
  int link_mbps = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_ENTRY_CAPACITY_H_
