#ifndef FIREFLYTHREAD_RELAY_IO_RELAY_NODE_H_
#define FIREFLYTHREAD_RELAY_IO_RELAY_NODE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fireflythread/base/ids.h"
#include "fireflythread/platform/worker_client.h"
#include "fireflythread/relay/io_order_relay.h"
#include "fireflythread/relay/io_relay_links.h"
#include "fireflythread/relay/io_relayed_worker_client.h"
#include "fireflythread/relay/relay_candidate.h"
#include "fireflythread/telemetry/logger.h"
#include "fireflythread/telemetry/metrics_registry.h"

namespace fireflythread {

/// Both sides of the relay of one entry.
class RelayNode {
 public:
  RelayNode(EntryId self,
            std::uint64_t incarnation,
            WorkerClient& local,
            const Logger& logger,
            MetricsRegistry& metrics);
  RelayNode(const RelayNode&) = delete;
  auto operator=(const RelayNode&) -> RelayNode& = delete;

  /// Listens at a numeric address and port; gives the reason on failure.
  [[nodiscard]] auto Open(const std::string& address)
      -> std::optional<std::string>;
  /// Where other entries reach this one.
  [[nodiscard]] auto Address() const -> std::string {
    return this->links.Address();
  }

  /// Takes the other entries. Links to helpers only while `owns_pool`.
  auto SetEntries(const std::vector<RelayCandidate>& entries, bool owns_pool)
      -> void;

  /// The client through which this entry's shards give their orders.
  [[nodiscard]] auto Workers() -> WorkerClient& { return this->client; }

  /// Takes no further orders of others.
  auto Leave() -> void { this->relay.Leave(); }
  /// Whether all orders of others are answered.
  [[nodiscard]] auto IsIdle() const -> bool { return this->relay.IsIdle(); }

 private:
  RelayLinks links;
  OrderRelay relay;
  RelayedWorkerClient client;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_IO_RELAY_NODE_H_
