#include "fireflythread/admin/admin_server.h"

#include <fmt/format.h>
#include <libsoup/soup.h>

#include <map>
#include <set>
#include <utility>

#include "fireflythread/admin/admin_handler.h"
#include "fireflythread/admin/connection_guard.h"
#include "fireflythread/admin/decode_request.h"
#include "fireflythread/admin/g_ptr.h"
#include "fireflythread/admin/pending_response.h"
#include "fireflythread/admin/soup_exchange.h"
#include "fireflythread/telemetry/logger.h"

namespace fireflythread::admin {
namespace {

using internal::GPtr;

auto TakeMessage(GError* error) -> std::string {
  std::string message = error->message;
  g_error_free(error);
  return message;
}

auto TooLargeResponse(std::int64_t limit) -> AdminResponse {
  return MakeErrorResponse(
      413, "body_too_large",
      fmt::format("the body has more than {} bytes", limit));
}

auto HeadersTooLargeResponse(std::int64_t limit) -> AdminResponse {
  return MakeErrorResponse(
      431, "headers_too_large",
      fmt::format("the headers have more than {} bytes", limit));
}

auto TooManyConnectionsResponse(int limit) -> AdminResponse {
  return MakeErrorResponse(
      503, "too_many_connections",
      fmt::format("{} connections are open already", limit));
}

// How long the backend may take. The client's own wait comes on top of the time
// for a transaction and for reading back a lost answer.
auto ResponseLimit(const AdminRequest& request, Duration limit) -> Duration {
  const Decoded<Duration> wait = DecodeWait(request, Duration(0));
  const auto* given = std::get_if<Duration>(&wait);
  return limit + (given == nullptr ? Duration(0) : *given);
}

}  // namespace

// The server's objects and the callbacks of libsoup. Everything runs on the
// main context's thread.
struct AdminServer::State {
  State(AdminServerOptions server_options,
        AdminTokens tokens,
        AdminBackend& backend,
        const Logger& event_logger)
      : options(std::move(server_options)),
        handler(std::move(tokens), backend, event_logger),
        logger(event_logger),
        guard(this->options.max_connections, this->options.receive_timeout) {}

  auto Connect() -> void;
  auto LoadCertificate() -> std::optional<std::string>;
  auto Listen() -> std::optional<std::string>;
  auto Accept(GSocketConnection* connection) -> void;
  auto MakeStream(GSocketConnection* connection) -> GPtr<GIOStream>;
  auto CheckHeaders(SoupServerMessage* message) -> void;
  auto CheckChunk(SoupServerMessage* message) -> void;
  auto Handle(SoupServerMessage* message, const char* path, GHashTable* query)
      -> void;
  auto MakeRespond(SoupServerMessage* message, Duration limit)
      -> AdminHandler::Respond;

  AdminServerOptions options;
  AdminHandler handler;
  const Logger& logger;
  internal::ConnectionGuard guard;
  GPtr<GSocketService> service;
  GPtr<GTlsCertificate> certificate;
  std::uint16_t port = 0;
  // Messages that libsoup still works on. A response that comes after its
  // client has gone is dropped.
  std::set<SoupServerMessage*> open;
  // Bytes received of bodies whose length the client did not state.
  std::map<SoupServerMessage*, std::int64_t> received;
  // Callbacks of the backend may outlive the server.
  std::shared_ptr<State*> self = std::make_shared<State*>(this);
  // Destroyed first, because that reports open messages as aborted.
  GPtr<SoupServer> soup{
      soup_server_new("server-header", "fireflythread", nullptr)};
};

namespace {

template <typename StateType>
auto OnIncoming(GSocketService* /*service*/,
                GSocketConnection* connection,
                GObject* /*source*/,
                gpointer data) -> gboolean {
  static_cast<StateType*>(data)->Accept(connection);
  return TRUE;
}

template <typename StateType>
auto OnStarted(SoupServer* /*server*/,
               SoupServerMessage* message,
               gpointer data) -> void {
  auto* state = static_cast<StateType*>(data);
  state->open.insert(message);
  g_signal_connect(
      message, "got-chunk",
      G_CALLBACK(+[](SoupServerMessage* of, GBytes* chunk, gpointer user) {
        auto* owner = static_cast<StateType*>(user);
        owner->received[of] +=
            static_cast<std::int64_t>(g_bytes_get_size(chunk));
        owner->CheckChunk(of);
      }),
      state);
}

template <typename StateType>
auto OnRead(SoupServer* /*server*/, SoupServerMessage* message, gpointer data)
    -> void {
  auto* state = static_cast<StateType*>(data);
  GSocketAddress* remote = soup_server_message_get_remote_address(message);
  if (soup_server_message_get_status(message) == 0) {
    state->guard.RequestReceived(remote);
  } else {
    // Refused by its headers; libsoup sends the response next.
    state->guard.ResponseStarted(remote);
  }
}

template <typename StateType>
auto OnEnded(SoupServer* /*server*/, SoupServerMessage* message, gpointer data)
    -> void {
  auto* state = static_cast<StateType*>(data);
  state->open.erase(message);
  state->received.erase(message);
}

template <typename StateType>
auto OnHeaders(SoupServer* /*server*/,
               SoupServerMessage* message,
               const char* /*path*/,
               GHashTable* /*query*/,
               gpointer data) -> void {
  static_cast<StateType*>(data)->CheckHeaders(message);
}

template <typename StateType>
auto OnRequest(SoupServer* /*server*/,
               SoupServerMessage* message,
               const char* path,
               GHashTable* query,
               gpointer data) -> void {
  static_cast<StateType*>(data)->Handle(message, path, query);
}

}  // namespace

auto AdminServer::State::Connect() -> void {
  SoupServer* server = this->soup.get();
  soup_server_add_early_handler(server, nullptr, &OnHeaders<State>, this,
                                nullptr);
  soup_server_add_handler(server, nullptr, &OnRequest<State>, this, nullptr);
  g_signal_connect(server, "request-started", G_CALLBACK(&OnStarted<State>),
                   this);
  g_signal_connect(server, "request-read", G_CALLBACK(&OnRead<State>), this);
  g_signal_connect(server, "request-finished", G_CALLBACK(&OnEnded<State>),
                   this);
  g_signal_connect(server, "request-aborted", G_CALLBACK(&OnEnded<State>),
                   this);
}

auto AdminServer::State::LoadCertificate() -> std::optional<std::string> {
  if (this->options.tls_certificate.empty()) {
    return std::nullopt;
  }
  GError* error = nullptr;
  this->certificate.reset(
      g_tls_certificate_new_from_files(this->options.tls_certificate.c_str(),
                                       this->options.tls_key.c_str(), &error));
  if (!this->certificate) {
    return fmt::format("{} or {}: {}", this->options.tls_certificate,
                       this->options.tls_key, TakeMessage(error));
  }
  return std::nullopt;
}

auto AdminServer::State::Listen() -> std::optional<std::string> {
  const Endpoint& endpoint = this->options.listen;
  const GPtr<GSocketAddress> address(g_inet_socket_address_new_from_string(
      endpoint.host.c_str(), endpoint.port));
  if (!address) {
    return "the listen address is not valid";
  }
  this->service.reset(g_socket_service_new());
  GSocketListener* listener = G_SOCKET_LISTENER(this->service.get());
  g_socket_listener_set_backlog(listener, this->options.max_connections);
  GError* error = nullptr;
  GSocketAddress* bound = nullptr;
  if (!g_socket_listener_add_address(
          listener, address.get(), G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
          nullptr, &bound, &error)) {
    return fmt::format("{}: {}", FormatEndpoint(endpoint), TakeMessage(error));
  }
  const GPtr<GSocketAddress> owned(bound);
  this->port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound));
  g_signal_connect(this->service.get(), "incoming",
                   G_CALLBACK(&OnIncoming<State>), this);
  return std::nullopt;
}

auto AdminServer::State::MakeStream(GSocketConnection* connection)
    -> GPtr<GIOStream> {
  if (!this->certificate) {
    return internal::AddRef(G_IO_STREAM(connection));
  }
  GError* error = nullptr;
  GPtr<GIOStream> stream(g_tls_server_connection_new(
      G_IO_STREAM(connection), this->certificate.get(), &error));
  if (!stream) {
    this->logger.Error("admin", "admin_tls_failed",
                       {{"error", TakeMessage(error)}});
  }
  return stream;
}

auto AdminServer::State::Accept(GSocketConnection* connection) -> void {
  const GPtr<GSocketAddress> local(
      g_socket_connection_get_local_address(connection, nullptr));
  const GPtr<GSocketAddress> remote(
      g_socket_connection_get_remote_address(connection, nullptr));
  const GPtr<GIOStream> stream = this->MakeStream(connection);
  // The addresses are missing when the client has gone again.
  if (!local || !remote || !stream) {
    return;
  }
  GSocket* socket = g_socket_connection_get_socket(connection);
  const auto verdict = this->guard.Add(remote.get(), stream.get(), socket);
  if (verdict == internal::ConnectionGuard::Verdict::kClose) {
    this->logger.Warning("admin", "admin_connection_refused",
                         {{"limit", this->options.max_connections}});
    return;
  }
  GError* error = nullptr;
  if (!soup_server_accept_iostream(this->soup.get(), stream.get(), local.get(),
                                   remote.get(), &error)) {
    this->logger.Warning("admin", "admin_accept_failed",
                         {{"error", TakeMessage(error)}});
  }
}

auto AdminServer::State::CheckHeaders(SoupServerMessage* message) -> void {
  GSocketAddress* remote = soup_server_message_get_remote_address(message);
  const goffset length = soup_message_headers_get_content_length(
      soup_server_message_get_request_headers(message));
  std::optional<AdminResponse> refusal;
  if (this->guard.IsRefused(remote)) {
    refusal = TooManyConnectionsResponse(this->options.max_connections);
  } else if (internal::HeaderSize(message) > this->options.max_headers) {
    refusal = HeadersTooLargeResponse(this->options.max_headers);
  } else if (length > this->options.max_body) {
    refusal = TooLargeResponse(this->options.max_body);
  }
  if (refusal) {
    // A status set here keeps libsoup from calling the handler.
    internal::DiscardBody(message);
    internal::WriteResponse(message, *refusal);
  }
}

auto AdminServer::State::CheckChunk(SoupServerMessage* message) -> void {
  if (this->received[message] > this->options.max_body) {
    internal::DiscardBody(message);
  }
}

auto AdminServer::State::Handle(SoupServerMessage* message,
                                const char* path,
                                GHashTable* query) -> void {
  if (this->received[message] > this->options.max_body) {
    internal::WriteResponse(message, TooLargeResponse(this->options.max_body));
    return;
  }
  soup_server_message_pause(message);
  const AdminRequest request = internal::ReadRequest(message, path, query);
  const auto respond = this->MakeRespond(
      message, ResponseLimit(request, this->options.response_timeout));
  this->handler.Handle(request, respond);
}

auto AdminServer::State::MakeRespond(SoupServerMessage* message, Duration limit)
    -> AdminHandler::Respond {
  const auto pending = std::make_shared<internal::PendingResponse>(message);
  const std::weak_ptr<State*> weak(this->self);
  const auto respond = [pending, weak](const AdminResponse& response) -> void {
    const auto owner = weak.lock();
    SoupServerMessage* held = pending->TakeMessage();
    if (!owner || held == nullptr || !(*owner)->open.contains(held)) {
      return;
    }
    internal::WriteResponse(held, response);
    (*owner)->guard.ResponseStarted(
        soup_server_message_get_remote_address(held));
    soup_server_message_unpause(held);
  };
  pending->StartTimer(limit, [respond]() -> void {
    respond(MakeErrorResponse(
        504, "unknown_result",
        "the entry did not finish in time; an edit may still take effect"));
  });
  return respond;
}

AdminServer::AdminServer(AdminServerOptions options,
                         AdminTokens tokens,
                         AdminBackend& backend,
                         const Logger& logger)
    : state(std::make_unique<State>(std::move(options),
                                    std::move(tokens),
                                    backend,
                                    logger)) {
  this->state->Connect();
}

AdminServer::~AdminServer() {
  this->Stop();
}

auto AdminServer::Start() -> std::optional<std::string> {
  if (auto problem = this->state->LoadCertificate()) {
    return problem;
  }
  if (auto problem = this->state->Listen()) {
    return problem;
  }
  g_socket_service_start(this->state->service.get());
  this->state->logger.Info("admin", "admin_listening",
                           {{"address", this->state->options.listen.host},
                            {"port", this->state->port},
                            {"tls", this->state->certificate != nullptr}});
  return std::nullopt;
}

auto AdminServer::Stop() -> void {
  if (this->state->service) {
    g_signal_handlers_disconnect_by_data(this->state->service.get(),
                                         this->state.get());
    g_socket_service_stop(this->state->service.get());
    g_socket_listener_close(G_SOCKET_LISTENER(this->state->service.get()));
    this->state->service.reset();
  }
  this->state->guard.CloseAll();
  soup_server_disconnect(this->state->soup.get());
}

auto AdminServer::Port() const -> std::uint16_t {
  return this->state->port;
}

}  // namespace fireflythread::admin
