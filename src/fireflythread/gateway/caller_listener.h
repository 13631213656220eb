#ifndef FIREFLYTHREAD_GATEWAY_CALLER_LISTENER_H_
#define FIREFLYTHREAD_GATEWAY_CALLER_LISTENER_H_

#include <libsoup/soup.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "fireflythread/gateway/caller_connections.h"
#include "fireflythread/gateway/caller_exchange.h"
#include "fireflythread/gateway/caller_request.h"
#include "fireflythread/gateway/start_result.h"

namespace fireflythread {

struct GatewaySettings;

/// The HTTP listener for callers. It reads whole requests, answers malformed
/// ones itself and hands the others on.
class CallerListener {
 public:
  using RequestHandler =
      std::function<void(CallerRequest, std::shared_ptr<CallerExchange>)>;
  using RefusedHandler = std::function<void(const Refusal&)>;

  CallerListener(const GatewaySettings& settings,
                 RequestHandler on_request,
                 RefusedHandler on_refused);
  ~CallerListener();
  CallerListener(const CallerListener&) = delete;
  auto operator=(const CallerListener&) -> CallerListener& = delete;

  /// Listens on an IP address; port 0 lets the kernel choose one.
  [[nodiscard]] auto Start(const std::string& ip, std::uint16_t port)
      -> StartResult;

  /// Runs `callback` once no request waits for its answer to be written.
  auto NotifyWhenIdle(std::function<void()> callback) -> void;

 private:
  static auto OnHeaders(SoupServer* server,
                        SoupServerMessage* message,
                        const char* path,
                        GHashTable* query,
                        gpointer self) -> void;
  static auto OnRequest(SoupServer* server,
                        SoupServerMessage* message,
                        const char* path,
                        GHashTable* query,
                        gpointer self) -> void;
  static auto OnChunk(SoupServerMessage* message, GBytes* chunk, gpointer self)
      -> void;
  auto Handle(SoupServerMessage* message) -> void;
  auto RefuseEarly(SoupServerMessage* message, const Refusal& refusal) -> void;
  auto OnExchangeFinished() -> void;

  std::size_t max_body_bytes;
  std::size_t max_header_bytes;
  CallerConnections connections;
  RequestHandler on_request;
  RefusedHandler on_refused;
  SoupServer* server;
  int open_exchanges = 0;
  std::function<void()> on_idle;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_CALLER_LISTENER_H_
