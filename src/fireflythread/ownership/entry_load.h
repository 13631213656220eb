#ifndef FIREFLYTHREAD_OWNERSHIP_ENTRY_LOAD_H_
#define FIREFLYTHREAD_OWNERSHIP_ENTRY_LOAD_H_

namespace fireflythread {

/// What a live entry owns and how much it can do.
struct EntryLoad {
  int shards = 0;
  /// As CapacityOf() gives it.
  int capacity = 1;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_ENTRY_LOAD_H_
