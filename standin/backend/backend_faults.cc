#include "standin/backend/backend_faults.h"

namespace fireflythread::standin {

auto ApplyFaults(const nlohmann::json& json, BackendFaults& faults) -> void {
  faults.fail = json.value("fail", faults.fail);
  faults.unhealthy = json.value("unhealthy", faults.unhealthy);
  faults.frozen = json.value("frozen", faults.frozen);
  faults.silence_connections =
      json.value("silence_connections", faults.silence_connections);
  faults.truncate_answers =
      json.value("truncate_answers", faults.truncate_answers);
  faults.duplicate_answers =
      json.value("duplicate_answers", faults.duplicate_answers);
  faults.wrong_digests = json.value("wrong_digests", faults.wrong_digests);
  faults.lose_answers = json.value("lose_answers", faults.lose_answers);
  faults.delay = std::chrono::milliseconds(
      json.value("delay_ms", static_cast<int>(faults.delay.count())));
}

}  // namespace fireflythread::standin
