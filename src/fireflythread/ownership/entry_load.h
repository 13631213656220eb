#ifndef FIREFLYTHREAD_OWNERSHIP_ENTRY_LOAD_H_
#define FIREFLYTHREAD_OWNERSHIP_ENTRY_LOAD_H_

namespace fireflythread {

/// Number of shards that a live entry owns, and the entry's capacity.
struct EntryLoad {
  int shards = 0;
  /// In millicores, as returned by CapacityOf().
  int capacity = 1;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_OWNERSHIP_ENTRY_LOAD_H_
