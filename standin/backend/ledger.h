#ifndef STANDIN_BACKEND_LEDGER_H_
#define STANDIN_BACKEND_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fireflythread/base/time.h"

namespace fireflythread::standin {

/// What became of one attempt that arrived at a worker.
enum class AttemptState {
  /// Arrived, and not looked at while the worker is frozen.
  kHeld,
  /// Answered with X-Not-Run: 1.
  kRefused,
  /// Answered with an error before its work was done.
  kFailed,
  kStarted,
  kFinished,
  /// Cut short by a reboot, a stop or the loss of the VM.
  kAborted
};

/// One attempt that arrived.
struct Attempt {
  /// `Fireflythread-Request-Id`, given by the entry.
  std::string request;
  /// `X-Standin-Request-Id`, given by the stand-in's caller.
  std::string caller_request;
  std::string key;
  std::string entry;
  std::string pool;
  std::string vm;
  std::string method;
  std::string path;
  AttemptState state = AttemptState::kStarted;
  TimePoint arrived;
  TimePoint ended;
};

/// All attempts of all workers of the process, in order of arrival.
class Ledger {
 public:
  auto Add(Attempt attempt) -> std::size_t;
  /// Sets the state and the time of its end.
  auto Set(std::size_t index, AttemptState state) -> void;

  /// The attempts from `first` on, at most `limit`.
  [[nodiscard]] auto ToJson(std::size_t first, std::size_t limit) const
      -> nlohmann::json;
  [[nodiscard]] auto Counters() const -> nlohmann::json;

 private:
  std::vector<Attempt> attempts;
  std::map<AttemptState, std::uint64_t> states;
  /// Attempts that started, by idempotency key.
  std::map<std::string, int> runs_by_key;
  std::uint64_t duplicates = 0;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_BACKEND_LEDGER_H_
