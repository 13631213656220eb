#ifndef FIREFLYTHREAD_PLATFORM_READ_ALL_H_
#define FIREFLYTHREAD_PLATFORM_READ_ALL_H_

#include "fireflythread/base/time.h"
#include "fireflythread/platform/table_store.h"

namespace fireflythread {

/// Reads all rows of a range, page by page, and gives them as one page. Its
/// revision is that of the first page: later changes may or may not be in the
/// rows. An error of any page ends the reading. The store must outlive it.
auto ReadAll(TableStore& store,
             RangeRequest request,
             Duration timeout,
             TableStore::Callback<RangePage> callback) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_READ_ALL_H_
