#ifndef FIREFLYTHREAD_ENTRY_RANGE_LOADER_H_
#define FIREFLYTHREAD_ENTRY_RANGE_LOADER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fireflythread/entry/alive_token.h"
#include "fireflythread/entry/one_shot_timer.h"
#include "fireflythread/platform/table_store.h"

namespace fireflythread {

/// Reads all rows of one part of a table, page by page, with retries until it
/// succeeds.
class RangeLoader {
 public:
  /// Called with the rows and the revision of the first page. Changes after
  /// this revision may or may not be included in the rows.
  using Done = std::function<void(std::vector<Row>, std::uint64_t revision)>;

  RangeLoader(TableStore& store, RangeRequest request, Done done);
  RangeLoader(const RangeLoader&) = delete;
  auto operator=(const RangeLoader&) -> RangeLoader& = delete;

  /// Reads the next page. Called once by the owner.
  auto Start() -> void;

 private:
  TableStore& store;
  RangeRequest request;
  Done done;
  std::vector<Row> rows;
  std::uint64_t revision = 0;
  OneShotTimer retry;
  AliveToken alive;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_RANGE_LOADER_H_
