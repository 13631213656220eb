#include "standin/caller/call_mix.h"

#include <fmt/format.h>

#include <random>

namespace fireflythread::standin {
namespace {

constexpr double kDefaultDeadlineMs = 5000;

}  // namespace

auto DrawCall(const CallMix& mix, std::uint64_t number, Random& random)
    -> CallPlan {
  std::uniform_real_distribution<double> share(0, 1);
  CallPlan plan;
  plan.id = fmt::format("{}-{}", mix.prefix, number);
  plan.service = DrawName(mix.services, random);
  plan.team = DrawName(mix.teams, random);
  plan.urgency = DrawName(mix.urgencies, random);
  plan.deadline = std::chrono::milliseconds(static_cast<int>(
      NumberOf(mix.deadlines_ms, plan.urgency, kDefaultDeadlineMs)));
  if (share(random) < mix.keyed_share) {
    plan.key = "key-" + plan.id;
  } else if (share(random) < mix.get_share) {
    plan.method = "GET";
  }
  return plan;
}

}  // namespace fireflythread::standin
