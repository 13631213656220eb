#ifndef STANDIN_PLATFORM_PLATFORM_SERVICE_H_
#define STANDIN_PLATFORM_PLATFORM_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "standin/common/http_exchange.h"
#include "standin/common/vm_entry.h"
#include "standin/platform/platform_faults.h"
#include "standin/platform/table_store.h"
#include "standin/platform/task_board.h"
#include "standin/platform/vm_registry.h"

namespace fireflythread::standin {

/// The platform API (docs/platform-api.md) with its faults.
class PlatformService {
 public:
  using Exchange = std::shared_ptr<HttpExchange>;

  explicit PlatformService(std::vector<VmEntry> entries);

  /// A request that arrived at the listener with this index.
  auto HandleApi(int listener, const Exchange& exchange) -> void;
  /// A request to the control listener.
  auto HandleControl(const Exchange& exchange) -> void;
  auto SetFaults(const nlohmann::json& json) -> void;
  /// `action` silences all connections of the API that are open now.
  auto OnSilenceEstablished(std::function<void()> action) -> void {
    this->silence_established = std::move(action);
  }
  /// Lets the long tasks go on; called at regular intervals.
  auto Advance() -> void { this->tasks.Advance(); }

 private:
  struct HeldRequest {
    int listener;
    Exchange exchange;
  };

  auto Dispatch(const Exchange& exchange) -> void;
  [[nodiscard]] auto IsHeld(int listener, const Exchange& exchange) const
      -> bool;
  /// Handles the requests that are no longer to be held.
  auto ReleaseHeld() -> void;
  auto HandleTable(const Exchange& exchange,
                   const std::vector<std::string>& path) -> void;
  auto HandleTransactions(const Exchange& exchange, bool batch) -> void;
  auto HandleVms(const Exchange& exchange, const std::vector<std::string>& path)
      -> void;
  auto HandleWorkers(const Exchange& exchange,
                     const std::vector<std::string>& path) -> void;
  auto HandleObject(const Exchange& exchange, const std::string& key) -> void;
  /// True when the answer to a transaction must be lost.
  auto TakeLostAnswer(const std::vector<Transaction>& transactions) -> bool;
  auto Counters() const -> nlohmann::json;

  TableStore table;
  TaskBoard::Objects objects;
  TaskBoard tasks;
  VmRegistry vms;
  PlatformFaults faults;
  std::vector<HeldRequest> held;
  bool releasing = false;
  std::function<void()> silence_established = [] {};
  /// Requests by kind and transactions by outcome, for tests.
  std::map<std::string, std::uint64_t> counts;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_PLATFORM_PLATFORM_SERVICE_H_
