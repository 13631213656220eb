#ifndef FIREFLYTHREAD_PLATFORM_OPERATOR_NEWS_H_
#define FIREFLYTHREAD_PLATFORM_OPERATOR_NEWS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/wave_request.h"

namespace fireflythread {

/// What operators wrote since the revision asked from. `history_lost` says
/// that everything must be read again.
struct OperatorNews {
  std::optional<Configuration> configuration;
  std::vector<WaveRequest> waves;
  std::uint64_t revision = 0;
  bool history_lost = false;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_OPERATOR_NEWS_H_
