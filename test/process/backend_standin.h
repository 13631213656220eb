#ifndef TEST_PROCESS_BACKEND_STANDIN_H_
#define TEST_PROCESS_BACKEND_STANDIN_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "test/process/child_process.h"

namespace fireflythread::test {

/// A running standin-backend and its ledger, the oracle of the process tests.
class BackendStandin {
 public:
  BackendStandin(const std::vector<std::string>& flags, const std::string& log);

  auto SetFaults(const nlohmann::json& faults) const -> void;
  [[nodiscard]] auto Counters() const -> nlohmann::json;
  /// All attempts that arrived, in order.
  [[nodiscard]] auto Attempts() const -> nlohmann::json;
  [[nodiscard]] auto LedgerUrl() const -> std::string {
    return this->Control("/ledger");
  }
  /// Attempts in this state.
  [[nodiscard]] auto Count(const std::string& state) const -> int;

 private:
  [[nodiscard]] auto Control(const std::string& path) const -> std::string;

  ChildProcess process;
  nlohmann::json started;
};

}  // namespace fireflythread::test

#endif  // TEST_PROCESS_BACKEND_STANDIN_H_
