#ifndef STANDIN_CALLER_CALL_MIX_H_
#define STANDIN_CALLER_CALL_MIX_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/random.h"
#include "standin/caller/call_plan.h"
#include "standin/caller/weighted_names.h"

namespace fireflythread::standin {

/// The kinds of requests and their shares.
struct CallMix {
  WeightedNames services;
  WeightedNames teams;
  WeightedNames urgencies;
  /// Deadlines in milliseconds by urgency.
  WeightedNames deadlines_ms;
  /// Share of non-idempotent requests, which carry a key (0 to 1).
  double keyed_share = 0.3;
  /// Share of GET requests among the idempotent ones (0 to 1).
  double get_share = 0.5;
  /// Prefix of ids and keys; differs between runs against one platform.
  std::string prefix;
};

/// Draws the request with this number; `entry` is left at 0.
[[nodiscard]] auto DrawCall(const CallMix& mix,
                            std::uint64_t number,
                            Random& random) -> CallPlan;

}  // namespace fireflythread::standin

#endif  // STANDIN_CALLER_CALL_MIX_H_
