#ifndef FIREFLYTHREAD_ADMIN_ADMIN_SERVER_H_
#define FIREFLYTHREAD_ADMIN_ADMIN_SERVER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "fireflythread/admin/admin_server_options.h"
#include "fireflythread/admin/admin_tokens.h"
#include "fireflythread/admin/fwd.h"
#include "fireflythread/telemetry/fwd.h"

namespace fireflythread::admin {

/// The listener of the administration API, `/healthz`, `/readyz` and
/// `/metrics`, on the thread's default main context. `backend` and `logger`
/// must outlive the server.
class AdminServer {
 public:
  AdminServer(AdminServerOptions options,
              AdminTokens tokens,
              AdminBackend& backend,
              const Logger& logger);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  auto operator=(const AdminServer&) -> AdminServer& = delete;

  /// Opens the listener; gives the reason when it cannot.
  [[nodiscard]] auto Start() -> std::optional<std::string>;

  /// Closes the listener and all connections. Open requests get no answer.
  auto Stop() -> void;

  /// The port in use, also when the options asked for a free one.
  [[nodiscard]] auto Port() const -> std::uint16_t;

 private:
  struct State;

  std::unique_ptr<State> state;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ADMIN_SERVER_H_
