#include "fireflythread/gateway/backend_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>
#include <utility>

#include "fireflythread/base/assert.h"
#include "fireflythread/base/io_clock.h"
#include "fireflythread/gateway/answer_check.h"

namespace fireflythread {

namespace {

/// A connect on the loopback or within a region takes milliseconds; a lost
/// first packet is sent again after one second.
constexpr Duration kConnectLimit = std::chrono::milliseconds(1500);
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;

auto OpenSocket(GSocketAddress* address, GError** error) -> GSocket* {
  GSocket* socket =
      g_socket_new(g_socket_address_get_family(address), G_SOCKET_TYPE_STREAM,
                   G_SOCKET_PROTOCOL_TCP, error);
  if (socket != nullptr) {
    g_socket_set_blocking(socket, FALSE);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  }
  return socket;
}

}  // namespace

BackendConnection::BackendConnection(std::string server_address,
                                     std::size_t max_response_bytes,
                                     TimerQueue& timer_queue)
    : address(std::move(server_address)),
      timers(timer_queue),
      reader(max_response_bytes) {}

BackendConnection::~BackendConnection() {
  this->done = nullptr;
  this->CloseSocket();
}

auto BackendConnection::Send(OutgoingRequest new_request,
                             TimePoint deadline,
                             DoneCallback callback) -> void {
  FIREFLYTHREAD_ASSERT(
      this->phase == Phase::kNew || this->phase == Phase::kIdle,
      "one request at a time on a connection");
  this->request = std::move(new_request);
  this->done = std::move(callback);
  this->written = 0;
  this->received = false;
  this->reader.Start(this->request.head_request);
  this->deadline_timer =
      this->timers.RunAt(deadline, [this] { this->OnAttemptDeadline(); });
  if (this->phase == Phase::kNew) {
    this->StartConnect();
  } else {
    this->phase = Phase::kBusy;
    this->WriteMore();
  }
}

auto BackendConnection::IsIdle() -> bool {
  if (this->phase != Phase::kIdle) {
    return false;
  }
  const auto ready = static_cast<GIOCondition>(G_IO_IN | G_IO_HUP | G_IO_ERR);
  if (g_socket_condition_check(this->socket, ready) != 0) {
    this->CloseSocket();
    return false;
  }
  return true;
}

auto BackendConnection::Close(const std::string& reason) -> void {
  const std::shared_ptr<BackendConnection> keep = this->shared_from_this();
  AttemptReport report;
  report.result =
      this->written == 0 ? AttemptResult::kNotSent : AttemptResult::kUnknown;
  report.reason = reason;
  this->CloseSocket();
  this->Finish(std::move(report));
}

auto BackendConnection::StartConnect() -> void {
  this->phase = Phase::kConnecting;
  g_autoptr(GError) error = nullptr;
  g_autoptr(GSocketConnectable) target =
      g_network_address_parse(this->address.c_str(), 0, &error);
  g_autoptr(GSocketAddress) peer = nullptr;
  if (target != nullptr) {
    auto* network = G_NETWORK_ADDRESS(target);
    peer = g_inet_socket_address_new_from_string(
        g_network_address_get_hostname(network),
        g_network_address_get_port(network));
  }
  if (peer != nullptr) {
    this->socket = OpenSocket(peer, &error);
  }
  bool started = false;
  if (this->socket != nullptr) {
    started = g_socket_connect(this->socket, peer, nullptr, &error) != FALSE ||
              g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING) != FALSE;
  }
  if (!started) {
    this->FailLater(error != nullptr ? error->message : "malformed address");
    return;
  }
  this->CloseAt(ReadBootClock() + kConnectLimit, "connect timed out");
  this->write_watch =
      FdWatch(this->Descriptor(), G_IO_OUT, [this] { this->FinishConnect(); });
}

auto BackendConnection::FailLater(const std::string& reason) -> void {
  // By the timer, so that `done` never runs inside Send().
  this->CloseAt(ReadBootClock(), reason);
}

auto BackendConnection::CloseAt(TimePoint at, const std::string& reason)
    -> void {
  this->connect_timer = this->timers.RunAt(at, [this, reason] {
    this->connect_timer.reset();
    this->Close(reason);
  });
}

auto BackendConnection::FinishConnect() -> void {
  const std::shared_ptr<BackendConnection> keep = this->shared_from_this();
  this->write_watch.Stop();
  g_autoptr(GError) error = nullptr;
  if (g_socket_check_connect_result(this->socket, &error) == FALSE) {
    this->Close(error->message);
    return;
  }
  if (this->connect_timer) {
    this->timers.Cancel(*this->connect_timer);
    this->connect_timer.reset();
  }
  this->phase = Phase::kBusy;
  this->read_watch =
      FdWatch(this->Descriptor(), G_IO_IN, [this] { this->ReadMore(); });
  this->WriteMore();
}

auto BackendConnection::WriteMore() -> void {
  const std::string& bytes = this->request.bytes;
  if (this->written == 0 && this->request.may_send &&
      !this->request.may_send()) {
    this->FailLater("no longer allowed to send");
    return;
  }
  while (this->written < bytes.size()) {
    g_autoptr(GError) error = nullptr;
    const gssize count =
        g_socket_send(this->socket, bytes.data() + this->written,
                      bytes.size() - this->written, nullptr, &error);
    if (count > 0) {
      this->written += static_cast<std::size_t>(count);
      continue;
    }
    // A broken connection is reported by the read watch, which may still find
    // an answer that the server gave before it had read the whole request.
    if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE) {
      this->write_watch =
          FdWatch(this->Descriptor(), G_IO_OUT, [this] { this->WriteMore(); });
    } else {
      this->write_watch.Stop();
    }
    return;
  }
  this->write_watch.Stop();
}

auto BackendConnection::ReadMore() -> void {
  const std::shared_ptr<BackendConnection> keep = this->shared_from_this();
  static thread_local std::array<char, kReadBytes> bytes;
  g_autoptr(GError) error = nullptr;
  const gssize count = g_socket_receive(this->socket, bytes.data(),
                                        bytes.size(), nullptr, &error);
  if (count < 0 &&
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE) {
    return;
  }
  if (count <= 0 || this->phase == Phase::kIdle) {
    this->Close(count < 0 ? error->message : "connection closed");
    return;
  }
  this->received = true;
  const auto state =
      this->reader.Feed({bytes.data(), static_cast<std::size_t>(count)});
  if (state == ResponseReader::State::kComplete) {
    this->TakeAnswer();
  } else if (state == ResponseReader::State::kMalformed) {
    this->Close(this->reader.Error());
  }
}

auto BackendConnection::TakeAnswer() -> void {
  const bool whole_request_sent = this->written == this->request.bytes.size();
  AttemptReport report =
      CheckAnswer(this->request, this->reader.TakeResponse());
  if (!whole_request_sent || !this->reader.CanReuse() ||
      report.result == AttemptResult::kUnknown) {
    this->CloseSocket();
  } else {
    this->phase = Phase::kIdle;
  }
  this->Finish(std::move(report));
}

auto BackendConnection::OnAttemptDeadline() -> void {
  const std::shared_ptr<BackendConnection> keep = this->shared_from_this();
  this->deadline_timer.reset();
  AttemptReport report;
  report.result =
      this->written == 0 ? AttemptResult::kNotSent : AttemptResult::kUnknown;
  report.silent = this->written > 0 && !this->received;
  report.reason = report.silent ? "no answer" : "answer not complete in time";
  this->CloseSocket();
  this->Finish(std::move(report));
}

auto BackendConnection::Finish(AttemptReport report) -> void {
  if (this->deadline_timer) {
    this->timers.Cancel(*this->deadline_timer);
    this->deadline_timer.reset();
  }
  const DoneCallback callback = std::exchange(this->done, nullptr);
  if (callback) {
    callback(std::move(report));
  }
}

auto BackendConnection::CloseSocket() -> void {
  this->phase = Phase::kClosed;
  this->write_watch.Stop();
  this->read_watch.Stop();
  for (std::optional<TimerId>* timer :
       {&this->connect_timer, &this->deadline_timer}) {
    if (*timer) {
      this->timers.Cancel(**timer);
      timer->reset();
    }
  }
  if (this->socket != nullptr) {
    g_socket_close(this->socket, nullptr);
    g_clear_object(&this->socket);
  }
}

auto BackendConnection::Descriptor() const -> int {
  return g_socket_get_fd(this->socket);
}

}  // namespace fireflythread
