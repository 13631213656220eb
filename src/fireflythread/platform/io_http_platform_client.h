#ifndef FIREFLYTHREAD_PLATFORM_IO_HTTP_PLATFORM_CLIENT_H_
#define FIREFLYTHREAD_PLATFORM_IO_HTTP_PLATFORM_CLIENT_H_

#include <libsoup/soup.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/platform/io_http_call.h"
#include "fireflythread/platform/platform_client.h"

namespace fireflythread {

/// The platform over HTTP (docs/platform-api.md), on the default main context
/// of the thread that makes the calls. Destroying it cancels the outstanding
/// calls without running their callbacks.
class HttpPlatformClient : public PlatformClient {
 public:
  /// Takes the platform's host and port, e.g. "127.0.0.1:7000".
  explicit HttpPlatformClient(std::string host_and_port);
  ~HttpPlatformClient() override;
  HttpPlatformClient(const HttpPlatformClient&) = delete;
  auto operator=(const HttpPlatformClient&) -> HttpPlatformClient& = delete;

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
  auto DeleteObject(std::string key,
                    Duration timeout,
                    Callback<std::monostate> callback) -> void override;

 private:
  struct Request;

  auto Send(const Request& request,
            Duration timeout,
            internal::HttpCall::Callback callback) -> void;
  /// Fails a request whose body cannot be encoded, from the main loop.
  auto Refuse(internal::HttpCall::Callback callback) -> void;
  auto NewSession() -> void;

  std::string address;
  SoupSession* session = nullptr;
  std::vector<std::shared_ptr<internal::HttpCall>> calls;
  std::uint64_t session_number = 0;
  /// Expires with the client; calls that end later check it.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_IO_HTTP_PLATFORM_CLIENT_H_
