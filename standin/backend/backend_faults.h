#ifndef STANDIN_BACKEND_BACKEND_FAULTS_H_
#define STANDIN_BACKEND_BACKEND_FAULTS_H_

#include <chrono>
#include <nlohmann/json.hpp>

namespace fireflythread::standin {

/// The faults of one worker. docs/modules/standin.md lists them.
struct BackendFaults {
  /// Answers every request with 500 at once, without running it to its end.
  bool fail = false;
  /// The health probe gets 503. `fail` alone leaves the probe answering 200.
  bool unhealthy = false;
  /// Accepts connections and requests and does nothing. The requests run when
  /// the fault ends, as those of a paused process do.
  bool frozen = false;
  /// The next requests whose connection goes silent for good; new ones work.
  int silence_connections = 0;
  /// The next answers that stop in the middle of the body.
  int truncate_answers = 0;
  /// The next answers whose body differs from its digest.
  int wrong_digests = 0;
  /// The next answers that are sent twice on their connection, so that the
  /// second one meets the next request there.
  int duplicate_answers = 0;
  /// The next requests that run to their end and whose connection is then
  /// closed without an answer.
  int lose_answers = 0;
  /// Time between the end of the work and the answer.
  std::chrono::milliseconds delay{0};
};

/// Sets the members that `json` names. Throws nlohmann::json::exception when
/// one has a wrong type.
auto ApplyFaults(const nlohmann::json& json, BackendFaults& faults) -> void;

}  // namespace fireflythread::standin

#endif  // STANDIN_BACKEND_BACKEND_FAULTS_H_
