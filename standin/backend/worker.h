#ifndef STANDIN_BACKEND_WORKER_H_
#define STANDIN_BACKEND_WORKER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "fireflythread/base/random.h"
#include "standin/backend/backend_faults.h"
#include "standin/backend/ledger.h"
#include "standin/backend/service_time.h"
#include "standin/common/http_listener.h"
#include "standin/common/vm_entry.h"

namespace fireflythread::standin {

/// One worker: a backend server with slots and a limit of connections.
class Worker {
 public:
  struct Limits {
    int slots = 8;
    int connections = 60;
  };

  /// Listens on the entry's address. The ledger, the service times and the
  /// random source are shared by the workers of the process.
  Worker(VmEntry vm_entry,
         Limits worker_limits,
         Ledger& shared_ledger,
         const ServiceTime& service_times,
         Random& random_source);

  [[nodiscard]] auto Entry() const -> const VmEntry& { return this->entry; }
  [[nodiscard]] auto Address() const -> std::string {
    return this->listener.Address();
  }

  /// Refuses new requests, or takes them again.
  auto SetDraining(bool on) -> void { this->draining = on; }
  /// Closes the port and cuts all that runs short.
  auto Lose() -> void;
  /// Comes back after Lose(), without a drain.
  auto Start() -> void;
  /// Lose(), then Start() after `duration`.
  auto Reboot(std::chrono::milliseconds duration) -> void;
  auto SetFaults(const nlohmann::json& json) -> void;
  [[nodiscard]] auto Counters() const -> nlohmann::json;

 private:
  using Exchange = std::shared_ptr<HttpExchange>;

  auto Handle(const Exchange& exchange) -> void;
  auto Begin(const Exchange& exchange, std::size_t attempt) -> void;
  auto End(const Exchange& exchange, std::size_t attempt, std::uint64_t life)
      -> void;
  auto Answer(const Exchange& exchange) -> void;
  auto Refuse(const Exchange& exchange, const char* reason) -> void;
  auto HandleHealth(const Exchange& exchange) -> void;
  [[nodiscard]] auto AnswerBody(const HttpExchange& exchange) const
      -> std::string;

  auto NewBootId() -> void;

  VmEntry entry;
  /// Differs after every start of the VM.
  std::string boot;
  Limits limits;
  Ledger& ledger;
  const ServiceTime& times;
  Random& random;
  BackendFaults faults;
  bool draining = false;
  /// Running attempts and their exchanges.
  std::map<std::size_t, Exchange> running;
  /// Attempts that wait for the end of the frozen state.
  std::deque<std::pair<Exchange, std::size_t>> held;
  std::size_t peak_running = 0;
  std::uint64_t refused = 0;
  std::uint64_t reboots = 0;
  /// Raised by Lose(), so that work of an earlier life does not end later.
  std::uint64_t life = 0;
  /// Requests that were running when the worker was rebooted or lost.
  std::uint64_t interrupted = 0;
  HttpListener listener;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_BACKEND_WORKER_H_
