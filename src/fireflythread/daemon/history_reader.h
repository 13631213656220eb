#ifndef FIREFLYTHREAD_DAEMON_HISTORY_READER_H_
#define FIREFLYTHREAD_DAEMON_HISTORY_READER_H_

#include <memory>
#include <string>
#include <vector>

#include "fireflythread/admin/admin_backend.h"
#include "fireflythread/admin/history_entry.h"
#include "fireflythread/admin/history_query.h"
#include "fireflythread/base/time.h"
#include "fireflythread/platform/platform_client.h"

namespace fireflythread {

/// Lists edits, newest first, by reading pages of the table `history`. It
/// keeps itself alive until it has called back.
class HistoryReader : public std::enable_shared_from_this<HistoryReader> {
 public:
  using Callback =
      admin::AdminBackend::Callback<std::vector<admin::HistoryEntry>>;

  /// A query for one object reads this many pages at most, 10,000 edits, and
  /// ends with what it has found.
  static constexpr int kMostPages = 20;
  static constexpr int kFilteredPage = 500;

  static auto Start(PlatformClient& platform,
                    Duration timeout,
                    admin::HistoryQuery query,
                    Callback callback) -> void;

 private:
  HistoryReader(PlatformClient& platform,
                Duration timeout,
                admin::HistoryQuery query,
                Callback callback);
  auto ReadNext() -> void;
  auto TakePage(const RowPage& page) -> void;

  PlatformClient& platform;
  Duration timeout;
  admin::HistoryQuery query;
  Callback callback;
  std::string below;
  int pages = 0;
  std::vector<admin::HistoryEntry> entries;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_HISTORY_READER_H_
