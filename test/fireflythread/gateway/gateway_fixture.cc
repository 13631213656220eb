#include "test/fireflythread/gateway/gateway_fixture.h"

#include <catch2/catch.hpp>

#include "fireflythread/base/io_clock.h"

namespace fireflythread {

namespace {

struct PendingCall {
  SoupMessage* message;
  std::shared_ptr<std::optional<CallerAnswer>> answer;
};

auto HeaderText(SoupMessage* message, const char* name) -> std::string {
  const char* value = soup_message_headers_get_one(
      soup_message_get_response_headers(message), name);
  return value == nullptr ? "" : value;
}

auto OnAnswer(GObject* session, GAsyncResult* result, gpointer data) -> void {
  const std::unique_ptr<PendingCall> call(static_cast<PendingCall*>(data));
  g_autoptr(GBytes) bytes =
      soup_session_send_and_read_finish(SOUP_SESSION(session), result, nullptr);
  CallerAnswer answer;
  if (bytes != nullptr) {
    answer.status = static_cast<int>(soup_message_get_status(call->message));
    answer.outcome = HeaderText(call->message, "Fireflythread-Outcome");
    answer.reason = HeaderText(call->message, "Fireflythread-Reason");
    answer.content_type = HeaderText(call->message, "Content-Type");
    gsize size = 0;
    const void* body = g_bytes_get_data(bytes, &size);
    if (size > 0) {
      answer.body.assign(static_cast<const char*>(body), size);
    }
  }
  *call->answer = answer;
  g_object_unref(call->message);
}

}  // namespace

GatewayFixture::GatewayFixture(GatewaySettings settings, bool predecessor_gone)
    : session(soup_session_new_with_options("max-conns-per-host",
                                            100,
                                            "max-conns",
                                            100,
                                            nullptr)) {
  settings.self = EntryId("entry-1");
  if (settings.members.empty()) {
    settings.members = {EntryId("entry-1")};
  }
  this->config.version = 1;
  this->config.services[ServiceName("orders")] = {
      ServiceName("orders"), 1, PoolName("counter-desk"), ProfileName("p")};
  this->config.pools[PoolName("counter-desk")].name = PoolName("counter-desk");
  this->observer.attempt_finished = [this](const AttemptFinished& event) {
    this->attempts.push_back(event);
  };
  this->observer.request_finished = [this](const RequestFinished& event) {
    this->finished.push_back(event);
  };
  this->observer.worker_ejected = [this](const WorkerChange& event) {
    this->ejected.push_back(event);
  };
  this->observer.worker_readmitted = [this](const WorkerChange& event) {
    this->readmitted.push_back(event);
  };
  this->gateway = std::make_unique<Gateway>(std::move(settings), this->platform,
                                            this->observer);
  const StartResult started = this->gateway->Start();
  REQUIRE(std::holds_alternative<BoundPort>(started));
  this->port = std::get<BoundPort>(started).port;
  if (predecessor_gone) {
    this->gateway->SetPredecessorGone();
  }
  this->gateway->SetConfirmedUntil(TimePoint::max());
}

GatewayFixture::~GatewayFixture() {
  soup_session_abort(this->session);
  g_object_unref(this->session);
  this->gateway.reset();
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
}

auto GatewayFixture::AddWorker(const std::string& name,
                               const std::string& address) -> void {
  VmRecord vm;
  vm.id = VmId(name);
  vm.pool = PoolName("counter-desk");
  vm.address = address;
  vm.cores = 32;
  vm.memory_mb = 64 * 1024;
  this->fleet.vms[vm.id] = vm;
  this->Apply();
}

auto GatewayFixture::Apply() -> void {
  ++this->fleet.version;
  this->gateway->ApplyControlState(
      std::make_shared<const ConfigSnapshot>(this->config),
      std::make_shared<const FleetView>(this->fleet));
}

auto GatewayFixture::Begin(const std::string& method,
                           const std::string& path,
                           const Headers& headers,
                           const std::string& body)
    -> std::shared_ptr<std::optional<CallerAnswer>> {
  const std::string uri =
      "http://127.0.0.1:" + std::to_string(this->port) + path;
  SoupMessage* message = soup_message_new(method.c_str(), uri.c_str());
  for (const auto& [name, value] : headers) {
    soup_message_headers_append(soup_message_get_request_headers(message),
                                name.c_str(), value.c_str());
  }
  if (!body.empty()) {
    g_autoptr(GBytes) bytes = g_bytes_new(body.data(), body.size());
    soup_message_set_request_body_from_bytes(message, "text/plain", bytes);
  }
  auto answer = std::make_shared<std::optional<CallerAnswer>>();
  soup_session_send_and_read_async(this->session, message, G_PRIORITY_DEFAULT,
                                   nullptr, OnAnswer,
                                   new PendingCall{message, answer});
  return answer;
}

auto GatewayFixture::Call(const std::string& method,
                          const std::string& path,
                          const Headers& headers,
                          const std::string& body) -> CallerAnswer {
  const auto answer = this->Begin(method, path, headers, body);
  REQUIRE(WaitFor([&] { return answer->has_value(); }));
  return **answer;
}

auto GatewayFixture::WaitFor(const std::function<bool()>& condition) -> bool {
  constexpr auto kLimit = std::chrono::seconds(60);
  const TimePoint end = ReadBootClock() + kLimit;
  bool waking = true;
  const guint wake = g_timeout_add(
      20, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, &waking);
  while (!condition() && ReadBootClock() < end) {
    g_main_context_iteration(nullptr, TRUE);
  }
  g_source_remove(wake);
  return condition();
}

}  // namespace fireflythread
