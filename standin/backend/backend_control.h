#ifndef STANDIN_BACKEND_BACKEND_CONTROL_H_
#define STANDIN_BACKEND_BACKEND_CONTROL_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standin/backend/ledger.h"
#include "standin/backend/worker.h"
#include "standin/common/http_exchange.h"

namespace fireflythread::standin {

/// The control listener's requests: faults, commands of the platform, ledger
/// and counters.
class BackendControl {
 public:
  using Workers = std::vector<std::unique_ptr<Worker>>;

  BackendControl(Workers& all_workers, const Ledger& shared_ledger)
      : workers(all_workers), ledger(shared_ledger) {}

  auto Handle(const std::shared_ptr<HttpExchange>& exchange) -> void;

 private:
  auto Dispatch(const std::shared_ptr<HttpExchange>& exchange) -> void;
  /// Applies faults to the workers selected by `vms`, `rack`, `zone` or `pool`;
  /// to all workers when there is no selector. Returns how many.
  auto SetFaults(const nlohmann::json& json) -> int;
  /// Returns false when there is no such VM or command.
  auto Command(const std::string& vm,
               const std::string& command,
               const nlohmann::json& json) -> bool;
  [[nodiscard]] auto Counters() const -> nlohmann::json;

  Workers& workers;
  const Ledger& ledger;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_BACKEND_BACKEND_CONTROL_H_
