#ifndef TEST_PROCESS_PLATFORM_STANDIN_H_
#define TEST_PROCESS_PLATFORM_STANDIN_H_

#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "test/process/child_process.h"

namespace fireflythread::test {

/// A running standin-platform.
class PlatformStandin {
 public:
  PlatformStandin(const std::vector<std::string>& flags,
                  const std::string& log);

  /// Host and port of the API's listener with this index.
  [[nodiscard]] auto Address(std::size_t listener = 0) const -> std::string;
  auto SetFaults(const nlohmann::json& faults) const -> void;
  /// The rows of a table by key, read past any fault.
  [[nodiscard]] auto Rows(const std::string& table) const
      -> std::map<std::string, nlohmann::json>;
  /// Writes rows, by key, past any fault.
  auto WriteRows(const std::string& table,
                 const std::map<std::string, nlohmann::json>& rows) const
      -> void;
  [[nodiscard]] auto Counters() const -> nlohmann::json;
  /// The true state of the VMs and all commands that arrived.
  [[nodiscard]] auto Vms() const -> nlohmann::json;
  /// Every start of a run of a long task, in order.
  [[nodiscard]] auto Runs() const -> nlohmann::json;
  /// The true state of the long tasks by id.
  [[nodiscard]] auto Tasks() const -> std::map<std::string, nlohmann::json>;
  auto Stop() -> void { this->process.Kill(); }

 private:
  [[nodiscard]] auto Control(const std::string& path) const -> std::string;

  ChildProcess process;
  nlohmann::json started;
};

}  // namespace fireflythread::test

#endif  // TEST_PROCESS_PLATFORM_STANDIN_H_
