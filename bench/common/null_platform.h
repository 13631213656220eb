#ifndef FIREFLYTHREAD_BENCH_COMMON_NULL_PLATFORM_H_
#define FIREFLYTHREAD_BENCH_COMMON_NULL_PLATFORM_H_

#include <optional>
#include <string>
#include <vector>

#include "fireflythread/platform/platform_client.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/vm_command.h"
#include "fireflythread/platform/worker_task_command.h"

namespace fireflythread {

/// A platform for measurements that must not call it: every call is dropped.
class NullPlatform : public PlatformClient {
 public:
  auto Commit(Transaction /*transaction*/,
              Duration /*timeout*/,
              CommitCallback /*callback*/) -> void override {}
  auto CommitBatch(std::vector<Transaction> /*transactions*/,
                   Duration /*timeout*/,
                   BatchCallback /*callback*/) -> void override {}
  auto Read(std::string /*table*/,
            std::string /*key*/,
            Duration /*timeout*/,
            Callback<std::optional<Row>> /*callback*/) -> void override {}
  auto Scan(std::string /*table*/,
            std::uint64_t /*after_revision*/,
            Duration /*timeout*/,
            Callback<ScanResult> /*callback*/) -> void override {}
  auto ReadPage(PageRequest /*request*/,
                Duration /*timeout*/,
                Callback<RowPage> /*callback*/) -> void override {}
  auto DeleteObject(std::string /*key*/,
                    Duration /*timeout*/,
                    Callback<std::monostate> /*callback*/) -> void override {}
  auto ListVms(std::uint64_t /*since*/,
               Duration /*timeout*/,
               Callback<VmListResult> /*callback*/) -> void override {}
  auto CommandVm(VmCommand /*command*/,
                 Duration /*timeout*/,
                 Callback<std::monostate> /*callback*/) -> void override {}
  auto CommandTask(WorkerTaskCommand /*command*/,
                   Duration /*timeout*/,
                   Callback<std::monostate> /*callback*/) -> void override {}
  auto ListTaskReports(Duration /*timeout*/,
                       Callback<std::vector<WorkerTaskReport>> /*callback*/)
      -> void override {}
  auto PutObject(std::string /*key*/,
                 std::string /*body*/,
                 Duration /*timeout*/,
                 Callback<std::monostate> /*callback*/) -> void override {}
  auto GetObject(std::string /*key*/,
                 Duration /*timeout*/,
                 Callback<std::optional<std::string>> /*callback*/)
      -> void override {}
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_BENCH_COMMON_NULL_PLATFORM_H_
