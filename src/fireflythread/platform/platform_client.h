#ifndef FIREFLYTHREAD_PLATFORM_PLATFORM_CLIENT_H_
#define FIREFLYTHREAD_PLATFORM_PLATFORM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/platform/fwd.h"
#include "fireflythread/platform/page_request.h"
#include "fireflythread/platform/platform_error.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/row_page.h"
#include "fireflythread/platform/scan_result.h"
#include "fireflythread/platform/transaction_outcome.h"
#include "fireflythread/platform/vm_list_result.h"
#include "fireflythread/platform/worker_task_report.h"

namespace fireflythread {

/// The platform's table, object store, VM list and commands. Every call
/// returns at once and runs its callback later, exactly once, on the caller's
/// main loop, at the latest when `timeout` has passed. Tests replace it by a
/// fake that keeps rows in memory.
class PlatformClient {
 public:
  template <typename T>
  using Callback = std::function<void(std::variant<T, PlatformError>)>;
  using CommitCallback = std::function<void(TransactionOutcome)>;
  using BatchCallback = std::function<void(std::vector<TransactionOutcome>)>;

  virtual ~PlatformClient() = default;

  /// Applies one conditional transaction. Never sends it twice.
  virtual auto Commit(Transaction transaction,
                      Duration timeout,
                      CommitCallback callback) -> void = 0;

  /// Applies each transaction on its own, in one round trip. The callback gets
  /// one outcome for each, in order.
  virtual auto CommitBatch(std::vector<Transaction> transactions,
                           Duration timeout,
                           BatchCallback callback) -> void = 0;

  /// Reads one row; no value when it is absent.
  virtual auto Read(std::string table,
                    std::string key,
                    Duration timeout,
                    Callback<std::optional<Row>> callback) -> void = 0;

  /// Reads the rows of a table written after a revision; 0 reads all.
  virtual auto Scan(std::string table,
                    std::uint64_t after_revision,
                    Duration timeout,
                    Callback<ScanResult> callback) -> void = 0;

  /// Reads some rows of a table in the order of their keys.
  virtual auto ReadPage(PageRequest request,
                        Duration timeout,
                        Callback<RowPage> callback) -> void = 0;

  /// Reads the VM list if it is newer than `since`; 0 always reads it.
  virtual auto ListVms(std::uint64_t since,
                       Duration timeout,
                       Callback<VmListResult> callback) -> void = 0;

  virtual auto CommandVm(VmCommand command,
                         Duration timeout,
                         Callback<std::monostate> callback) -> void = 0;

  virtual auto CommandTask(WorkerTaskCommand command,
                           Duration timeout,
                           Callback<std::monostate> callback) -> void = 0;

  /// Reads the last reports of all long tasks.
  virtual auto ListTaskReports(Duration timeout,
                               Callback<std::vector<WorkerTaskReport>> callback)
      -> void = 0;

  virtual auto PutObject(std::string key,
                         std::string body,
                         Duration timeout,
                         Callback<std::monostate> callback) -> void = 0;

  /// Reads an object; no value when it is absent.
  virtual auto GetObject(std::string key,
                         Duration timeout,
                         Callback<std::optional<std::string>> callback)
      -> void = 0;

  /// Deletes an object, if it is there.
  virtual auto DeleteObject(std::string key,
                            Duration timeout,
                            Callback<std::monostate> callback) -> void = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_PLATFORM_CLIENT_H_
