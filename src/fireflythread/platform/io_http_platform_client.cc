#include "fireflythread/platform/io_http_platform_client.h"

#include <fmt/format.h>

#include <string_view>
#include <utility>

#include "fireflythread/base/assert.h"
#include "fireflythread/platform/protocol_json.h"
#include "fireflythread/platform/transaction.h"
#include "fireflythread/platform/vm_command.h"
#include "fireflythread/platform/worker_task_command.h"

namespace fireflythread {
namespace {

using internal::HttpCall;
using internal::HttpFailure;
using internal::HttpReply;

/// Enough for the reads, commits and commands that one entry has outstanding.
constexpr int kMaxConnections = 32;
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusConflict = 409;
/// Longest part of an error body that goes into a reason.
constexpr std::size_t kMaxReasonBytes = 200;

auto Escape(const std::string& text) -> std::string {
  char* escaped = g_uri_escape_string(text.c_str(), nullptr, FALSE);
  std::string result(escaped);
  g_free(escaped);
  return result;
}

auto StatusReason(const HttpReply& reply) -> std::string {
  return fmt::format("status {}: {}", reply.status,
                     reply.body.substr(0, kMaxReasonBytes));
}

/// The error of a call that got no usable answer.
auto FailedCall(const HttpCall::Result& result) -> PlatformError {
  if (const auto* failure = std::get_if<HttpFailure>(&result)) {
    return {.reason = failure->reason, .may_have_run = failure->may_have_run};
  }
  const auto& reply = std::get<HttpReply>(result);
  if (reply.status == kStatusOk) {
    return {.reason = "malformed answer"};
  }
  return {.reason = StatusReason(reply),
          .may_have_run = !reply.not_run,
          .stale_fence = reply.not_run && reply.status == kStatusConflict};
}

/// The outcome of a commit that got no usable answer.
auto FailedCommit(const HttpCall::Result& result) -> TransactionOutcome {
  PlatformError error = FailedCall(result);
  if (error.may_have_run) {
    return CommitUnknown{std::move(error.reason)};
  }
  return NotCommitted{std::move(error.reason)};
}

/// The body of a 200 answer, or null.
auto OkBody(const HttpCall::Result& result) -> const std::string* {
  const auto* reply = std::get_if<HttpReply>(&result);
  return reply != nullptr && reply->status == kStatusOk ? &reply->body
                                                        : nullptr;
}

/// Runs `callback` with the decoded body or with the error.
template <typename T, typename Decode>
auto Deliver(const HttpCall::Result& result,
             const Decode& decode,
             const PlatformClient::Callback<T>& callback) -> void {
  if (const std::string* body = OkBody(result)) {
    if (std::optional<T> value = decode(*body)) {
      callback(*std::move(value));
      return;
    }
  }
  callback(FailedCall(result));
}

auto DeliverDone(const HttpCall::Result& result,
                 const PlatformClient::Callback<std::monostate>& callback)
    -> void {
  if (OkBody(result) != nullptr) {
    callback(std::monostate());
  } else {
    callback(FailedCall(result));
  }
}

}  // namespace

struct HttpPlatformClient::Request {
  const char* method = "GET";
  std::string path;
  /// No value when the body cannot be encoded.
  std::optional<std::string> body = "";
};

HttpPlatformClient::HttpPlatformClient(std::string host_and_port)
    : address(std::move(host_and_port)) {
  this->NewSession();
}

HttpPlatformClient::~HttpPlatformClient() {
  for (const auto& call : this->calls) {
    call->Abandon();
  }
  g_object_unref(this->session);
}

auto HttpPlatformClient::NewSession() -> void {
  g_clear_object(&this->session);
  this->session = soup_session_new_with_options(
      "max-conns", kMaxConnections, "max-conns-per-host", kMaxConnections,
      "proxy-resolver", nullptr, nullptr);
  ++this->session_number;
}

auto HttpPlatformClient::Send(const Request& request,
                              Duration timeout,
                              HttpCall::Callback callback) -> void {
  if (!request.body) {
    this->Refuse(std::move(callback));
    return;
  }
  std::erase_if(this->calls, [](const auto& call) { return call->IsDone(); });
  const std::string uri =
      fmt::format("http://{}{}", this->address, request.path);
  SoupMessage* message = soup_message_new(request.method, uri.c_str());
  FIREFLYTHREAD_ASSERT(message != nullptr, "the platform's address is a URI");
  soup_message_add_flags(message, SOUP_MESSAGE_NO_REDIRECT);
  // libsoup opens a new connection for each message that it may not resend;
  // without this header it would keep them all.
  if (std::string_view(request.method) != "GET") {
    soup_message_headers_replace(soup_message_get_request_headers(message),
                                 "Connection", "close");
  }
  if (!request.body->empty()) {
    GBytes* bytes = g_bytes_new(request.body->data(), request.body->size());
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes);
    g_bytes_unref(bytes);
  }
  auto finished = [this, number = this->session_number,
                   watch = std::weak_ptr<bool>(this->alive),
                   callback = std::move(callback)](HttpCall::Result result) {
    const auto* failure = std::get_if<HttpFailure>(&result);
    // The other idle connections may be as silent as this one. Calls that are
    // outstanding keep the old session.
    if (!watch.expired() && failure != nullptr && failure->timed_out &&
        number == this->session_number) {
      this->NewSession();
    }
    callback(std::move(result));
  };
  this->calls.push_back(HttpCall::Start(
      this->session, message, {timeout, timeout}, std::move(finished)));
  g_object_unref(message);
}

auto HttpPlatformClient::Refuse(HttpCall::Callback callback) -> void {
  struct Refusal {
    std::weak_ptr<bool> watch;
    HttpCall::Callback callback;
  };
  GSource* source = g_idle_source_new();
  g_source_set_callback(
      source,
      +[](gpointer data) -> gboolean {
        const auto* refusal = static_cast<const Refusal*>(data);
        if (!refusal->watch.expired()) {
          refusal->callback(HttpFailure{.reason = "the request is not UTF-8",
                                        .may_have_run = false});
        }
        return G_SOURCE_REMOVE;
      },
      new Refusal{this->alive, std::move(callback)},
      +[](gpointer data) -> void { delete static_cast<Refusal*>(data); });
  g_source_attach(source, g_main_context_get_thread_default());
  g_source_unref(source);
}

auto HttpPlatformClient::Commit(Transaction transaction,
                                Duration timeout,
                                CommitCallback callback) -> void {
  this->Send({.method = "POST",
              .path = "/v1/table/transactions",
              .body = internal::EncodeTransaction(transaction)},
             timeout,
             [callback = std::move(callback)](const HttpCall::Result& result) {
               const std::string* body = OkBody(result);
               std::optional<TransactionOutcome> outcome;
               if (body != nullptr) {
                 outcome = internal::DecodeOutcome(*body);
               }
               callback(outcome ? *std::move(outcome) : FailedCommit(result));
             });
}

auto HttpPlatformClient::CommitBatch(std::vector<Transaction> transactions,
                                     Duration timeout,
                                     BatchCallback callback) -> void {
  this->Send(
      {.method = "POST",
       .path = "/v1/table/batches",
       .body = internal::EncodeBatch(transactions)},
      timeout,
      [callback = std::move(callback),
       count = transactions.size()](const HttpCall::Result& result) {
        if (const std::string* body = OkBody(result)) {
          if (auto outcomes = internal::DecodeBatchOutcomes(*body, count)) {
            callback(*std::move(outcomes));
            return;
          }
        }
        callback(std::vector<TransactionOutcome>(count, FailedCommit(result)));
      });
}

auto HttpPlatformClient::Read(std::string table,
                              std::string key,
                              Duration timeout,
                              Callback<std::optional<Row>> callback) -> void {
  this->Send(
      {.path = fmt::format("/v1/table/rows/{}/{}", Escape(table), Escape(key))},
      timeout,
      [callback = std::move(callback)](const HttpCall::Result& result) {
        Deliver<std::optional<Row>>(result, internal::DecodeRead, callback);
      });
}

auto HttpPlatformClient::Scan(std::string table,
                              std::uint64_t after_revision,
                              Duration timeout,
                              Callback<ScanResult> callback) -> void {
  this->Send(
      {.path = fmt::format("/v1/table/rows/{}?after={}", Escape(table),
                           after_revision)},
      timeout,
      [callback = std::move(callback), table](const HttpCall::Result& result) {
        const auto decode = [&table](const std::string& body) {
          return internal::DecodeScan(body, table);
        };
        Deliver<ScanResult>(result, decode, callback);
      });
}

auto HttpPlatformClient::ReadPage(PageRequest request,
                                  Duration timeout,
                                  Callback<RowPage> callback) -> void {
  this->Send(
      {.path = fmt::format(
           "/v1/table/pages/{}?above={}&below={}&limit={}&order={}",
           Escape(request.table), Escape(request.above), Escape(request.below),
           request.limit, request.descending ? "descending" : "ascending")},
      timeout,
      [callback = std::move(callback),
       table = request.table](const HttpCall::Result& result) {
        const auto decode = [&table](const std::string& body) {
          return internal::DecodePage(body, table);
        };
        Deliver<RowPage>(result, decode, callback);
      });
}

auto HttpPlatformClient::ListVms(std::uint64_t since,
                                 Duration timeout,
                                 Callback<VmListResult> callback) -> void {
  this->Send({.path = fmt::format("/v1/vms?since={}", since)}, timeout,
             [callback = std::move(callback)](const HttpCall::Result& result) {
               Deliver<VmListResult>(result, internal::DecodeVmList, callback);
             });
}

auto HttpPlatformClient::CommandVm(VmCommand command,
                                   Duration timeout,
                                   Callback<std::monostate> callback) -> void {
  this->Send(
      {.method = "POST",
       .path = fmt::format("/v1/vms/{}/commands", Escape(command.vm.value)),
       .body = internal::EncodeVmCommand(command)},
      timeout,
      [callback = std::move(callback)](const HttpCall::Result& result) {
        DeliverDone(result, callback);
      });
}

auto HttpPlatformClient::CommandTask(WorkerTaskCommand command,
                                     Duration timeout,
                                     Callback<std::monostate> callback)
    -> void {
  this->Send(
      {.method = "POST",
       .path = fmt::format("/v1/workers/{}/tasks", Escape(command.vm.value)),
       .body = internal::EncodeTaskCommand(command)},
      timeout,
      [callback = std::move(callback)](const HttpCall::Result& result) {
        DeliverDone(result, callback);
      });
}

auto HttpPlatformClient::ListTaskReports(
    Duration timeout,
    Callback<std::vector<WorkerTaskReport>> callback) -> void {
  this->Send({.path = "/v1/workers/tasks"}, timeout,
             [callback = std::move(callback)](const HttpCall::Result& result) {
               Deliver<std::vector<WorkerTaskReport>>(
                   result, internal::DecodeTaskReports, callback);
             });
}

auto HttpPlatformClient::PutObject(std::string key,
                                   std::string body,
                                   Duration timeout,
                                   Callback<std::monostate> callback) -> void {
  this->Send({.method = "PUT",
              .path = fmt::format("/v1/objects/{}", Escape(key)),
              .body = std::move(body)},
             timeout,
             [callback = std::move(callback)](const HttpCall::Result& result) {
               DeliverDone(result, callback);
             });
}

auto HttpPlatformClient::GetObject(
    std::string key,
    Duration timeout,
    Callback<std::optional<std::string>> callback) -> void {
  this->Send({.path = fmt::format("/v1/objects/{}", Escape(key))}, timeout,
             [callback = std::move(callback)](const HttpCall::Result& result) {
               const auto* reply = std::get_if<HttpReply>(&result);
               if (reply != nullptr && reply->status == kStatusNotFound) {
                 callback(std::optional<std::string>());
               } else if (const std::string* body = OkBody(result)) {
                 callback(std::optional<std::string>(*body));
               } else {
                 callback(FailedCall(result));
               }
             });
}

auto HttpPlatformClient::DeleteObject(std::string key,
                                      Duration timeout,
                                      Callback<std::monostate> callback)
    -> void {
  this->Send(
      {.method = "DELETE", .path = fmt::format("/v1/objects/{}", Escape(key))},
      timeout,
      [callback = std::move(callback)](const HttpCall::Result& result) {
        DeliverDone(result, callback);
      });
}

}  // namespace fireflythread
