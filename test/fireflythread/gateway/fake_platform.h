#ifndef FIREFLYTHREAD_TEST_GATEWAY_FAKE_PLATFORM_H_
#define FIREFLYTHREAD_TEST_GATEWAY_FAKE_PLATFORM_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fireflythread/platform/platform_client.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/vm_command.h"
#include "fireflythread/platform/worker_task_command.h"

namespace fireflythread {

/// A platform that keeps rows in memory and answers on the main loop.
class FakePlatform : public PlatformClient {
 public:
  enum class Mode {
    kAvailable,
    /// Nothing is written and the client knows it.
    kRefusing,
    /// Writes take effect and their answers are lost; reads work.
    kLosingAnswers,
    /// Writes do not take effect, their answers are lost, and reads fail.
    kSilent
  };

  auto Commit(Transaction transaction,
              Duration timeout,
              CommitCallback callback) -> void override;
  auto CommitBatch(std::vector<Transaction> transactions,
                   Duration timeout,
                   BatchCallback callback) -> void override;
  auto Read(std::string table,
            std::string key,
            Duration timeout,
            Callback<std::optional<Row>> callback) -> void override;
  auto Scan(std::string table,
            std::uint64_t after_revision,
            Duration timeout,
            Callback<ScanResult> callback) -> void override;
  auto ReadPage(PageRequest request,
                Duration timeout,
                Callback<RowPage> callback) -> void override;
  auto DeleteObject(std::string key,
                    Duration timeout,
                    Callback<std::monostate> callback) -> void override;
  auto ListVms(std::uint64_t since,
               Duration timeout,
               Callback<VmListResult> callback) -> void override;
  auto CommandVm(VmCommand command,
                 Duration timeout,
                 Callback<std::monostate> callback) -> void override;
  auto CommandTask(WorkerTaskCommand command,
                   Duration timeout,
                   Callback<std::monostate> callback) -> void override;
  auto ListTaskReports(Duration timeout,
                       Callback<std::vector<WorkerTaskReport>> callback)
      -> void override;
  auto PutObject(std::string key,
                 std::string body,
                 Duration timeout,
                 Callback<std::monostate> callback) -> void override;
  auto GetObject(std::string key,
                 Duration timeout,
                 Callback<std::optional<std::string>> callback)
      -> void override;

  /// Applies a transaction at once.
  auto Apply(const Transaction& transaction) -> TransactionOutcome;
  auto Find(const std::string& table, const std::string& key) -> Row*;

  Mode mode = Mode::kAvailable;
  std::uint64_t revision = 0;
  std::map<std::pair<std::string, std::string>, Row> rows;
  std::map<std::string, std::string> objects;
  int batches = 0;
  int reads = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TEST_GATEWAY_FAKE_PLATFORM_H_
