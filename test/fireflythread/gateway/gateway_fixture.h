#ifndef FIREFLYTHREAD_TEST_GATEWAY_GATEWAY_FIXTURE_H_
#define FIREFLYTHREAD_TEST_GATEWAY_GATEWAY_FIXTURE_H_

#include <libsoup/soup.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fireflythread/config/config_snapshot.h"
#include "fireflythread/fleet/fleet_view.h"
#include "fireflythread/gateway/gateway.h"
#include "test/fireflythread/gateway/fake_platform.h"
#include "test/fireflythread/gateway/test_backend.h"

namespace fireflythread {

/// What a caller got.
struct CallerAnswer {
  int status = 0;
  std::string outcome;
  std::string reason;
  std::string body;
  std::string content_type;
};

/// A gateway with the service "orders" in the pool "counter-desk", whose
/// workers are the backends added.
class GatewayFixture {
 public:
  using Headers = std::vector<std::pair<std::string, std::string>>;

  explicit GatewayFixture(GatewaySettings settings = {},
                          bool predecessor_gone = true);
  ~GatewayFixture();

  /// Adds a worker at an address to the pool and applies the control state.
  auto AddWorker(const std::string& name, const std::string& address) -> void;
  auto Apply() -> void;

  /// Starts a call and returns where its answer will be.
  auto Begin(const std::string& method,
             const std::string& path,
             const Headers& headers = {},
             const std::string& body = "")
      -> std::shared_ptr<std::optional<CallerAnswer>>;
  /// Makes a call and waits for its answer.
  auto Call(const std::string& method,
            const std::string& path,
            const Headers& headers = {},
            const std::string& body = "") -> CallerAnswer;

  /// Runs the main loop until the condition holds; fails after a long time.
  static auto WaitFor(const std::function<bool()>& condition) -> bool;

  FakePlatform platform;
  GatewayObserver observer;
  std::vector<AttemptFinished> attempts;
  std::vector<RequestFinished> finished;
  std::vector<WorkerChange> ejected;
  std::vector<WorkerChange> readmitted;
  ConfigSnapshot config;
  FleetView fleet;
  std::unique_ptr<Gateway> gateway;
  std::uint16_t port = 0;

 private:
  SoupSession* session;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_TEST_GATEWAY_GATEWAY_FIXTURE_H_
