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

/// The relay of one entry: sends this entry's orders through relay peers, and
/// performs the orders of other entries.
class RelayNode {
 public:
  RelayNode(EntryId self,
            std::uint64_t incarnation,
            WorkerClient& local,
            const Logger& logger,
            MetricsRegistry& metrics);
  RelayNode(const RelayNode&) = delete;
  auto operator=(const RelayNode&) -> RelayNode& = delete;

  /// Listens on `address`, a numeric IP address with a port. Returns the reason
  /// on failure.
  [[nodiscard]] auto Open(const std::string& address)
      -> std::optional<std::string>;
  /// Returns the address at which other entries reach this one.
  [[nodiscard]] auto Address() const -> std::string {
    return this->links.Address();
  }

  /// Sets the other entries. Connects to relay peers only if `owns_pool`.
  auto SetEntries(const std::vector<RelayCandidate>& entries, bool owns_pool)
      -> void;

  /// Returns the client through which this entry's shards send their orders.
  [[nodiscard]] auto Workers() -> WorkerClient& { return this->client; }

  /// Stops accepting orders from other entries.
  auto Leave() -> void { this->relay.Leave(); }
  /// Returns whether all orders from other entries are answered.
  [[nodiscard]] auto IsIdle() const -> bool { return this->relay.IsIdle(); }

 private:
  EntryId self;
  RelayLinks links;
  OrderRelay relay;
  RelayedWorkerClient client;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_IO_RELAY_NODE_H_
