#ifndef TEST_PROCESS_SITE_H_
#define TEST_PROCESS_SITE_H_

#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "test/process/backend_standin.h"
#include "test/process/child_process.h"
#include "test/process/http_fetch.h"
#include "test/process/platform_standin.h"
#include "test/process/reserved_ports.h"
#include "test/process/scratch_directory.h"
#include "test/process/tcp_relay.h"
#include "test/process/wait_until.h"

namespace fireflythread::test {

/// A whole site: the stand-ins and some entries. Entry i reaches the platform
/// by the listener i, so that it can be cut off alone.
class Site {
 public:
  struct Options {
    std::size_t entries = 3;
    std::vector<std::string> backend_flags;
    /// Text added to each entry's settings.
    std::string settings;
    /// Entries connect to each other through relays, which can go silent.
    bool relay_peers = false;
  };

  /// Starts everything and waits until all entries are ready.
  explicit Site(Options site_options);
  Site() : Site(Options()) {}

  [[nodiscard]] auto Backend() -> BackendStandin& { return *this->backend; }
  [[nodiscard]] auto Platform() -> PlatformStandin& { return *this->platform; }
  [[nodiscard]] auto Entry(std::size_t index) -> ChildProcess& {
    return *this->entries.at(index);
  }
  /// Silences all open connections between entries; new ones work. Needs
  /// `relay_peers`.
  auto SilencePeerLinks() -> void;
  /// Returns whether each entry has been connected to again since the last
  /// silence.
  [[nodiscard]] auto HasNewPeerLinks() const -> bool;
  /// Starts the entry again after its end.
  auto Restart(std::size_t index) -> void;
  [[nodiscard]] auto IsReady(std::size_t index) const -> bool;
  /// The answer of /readyz.
  [[nodiscard]] auto Readiness(std::size_t index) const -> HttpAnswer;
  /// Adds text to an entry's settings, for its next start.
  auto AddSettings(std::size_t index, const std::string& text) -> void;
  [[nodiscard]] auto WaitReady(std::size_t index) const -> bool;
  /// The index of the entry that holds the controller lease, by the table.
  [[nodiscard]] auto Controller() const -> std::size_t;

  /// A caller's request through an entry; waits for its answer.
  [[nodiscard]] auto Call(std::size_t entry,
                          const std::string& method,
                          const std::string& service,
                          const HttpHeaders& headers) const -> HttpAnswer;
  /// The same with any path below the service and any body.
  [[nodiscard]] auto CallPath(std::size_t entry,
                              const std::string& method,
                              const std::string& path,
                              const std::string& body,
                              const HttpHeaders& headers) const -> HttpAnswer;
  /// Like Call, in a thread of its own.
  [[nodiscard]] auto CallLater(std::size_t entry,
                               const std::string& method,
                               const std::string& service,
                               const HttpHeaders& headers) const
      -> std::future<HttpAnswer>;
  /// A request to an entry's administration API.
  [[nodiscard]] auto Admin(std::size_t entry,
                           const std::string& method,
                           const std::string& path,
                           const std::string& body = "",
                           const HttpHeaders& headers = {}) const -> HttpAnswer;

  /// Starts a caller program over all entries.
  [[nodiscard]] auto StartCaller(const std::vector<std::string>& flags)
      -> std::unique_ptr<ChildProcess>;
  /// Waits for its end; returns its summary.
  [[nodiscard]] static auto EndCaller(ChildProcess& caller) -> nlohmann::json;
  /// Compares the outcomes of all callers so far with the ledger.
  [[nodiscard]] auto Reconcile() const -> nlohmann::json;

 private:
  auto StartEntry(std::size_t index) -> void;
  auto MakeEntries() -> void;
  /// The last lines of an entry's log, for the report of a failed test.
  [[nodiscard]] auto LogTail(std::size_t index) const -> std::string;

  Options options;
  ScratchDirectory directory;
  std::unique_ptr<BackendStandin> backend;
  std::unique_ptr<PlatformStandin> platform;
  ReservedPorts caller_ports;
  ReservedPorts admin_ports;
  ReservedPorts peer_ports;
  std::vector<std::unique_ptr<TcpRelay>> relays;
  std::vector<std::unique_ptr<ChildProcess>> entries;
  std::vector<std::string> outcome_files;
};

}  // namespace fireflythread::test

#endif  // TEST_PROCESS_SITE_H_
