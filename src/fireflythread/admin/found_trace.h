#ifndef FIREFLYTHREAD_ADMIN_FOUND_TRACE_H_
#define FIREFLYTHREAD_ADMIN_FOUND_TRACE_H_

#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/telemetry/span.h"

namespace fireflythread::admin {

/// The spans of one trace that the entries of the cell still hold.
struct FoundTrace {
  /// By start time.
  std::vector<Span> spans;
  /// Entries that did not answer in time; they may hold further spans.
  std::vector<EntryId> silent;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_FOUND_TRACE_H_
