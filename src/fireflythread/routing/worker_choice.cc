#include "fireflythread/routing/worker_choice.h"

#include <algorithm>
#include <tuple>

namespace fireflythread {

namespace {

auto DrawIndex(std::size_t count, Random& random) -> std::size_t {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
}

/// Returns the index of the candidate with the lowest cost; candidates with
/// equal cost have the same probability. `cost` returns no value for one that
/// cannot be chosen.
template <typename Cost>
auto ChooseLowest(std::span<const WorkerCandidate> candidates,
                  Random& random,
                  Cost cost) -> std::optional<std::size_t> {
  std::optional<std::size_t> best;
  std::size_t equals = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto value = cost(candidates[i]);
    if (!value) {
      continue;
    }
    if (!best || *value < *cost(candidates[*best])) {
      best = i;
      equals = 1;
    } else if (*value == *cost(candidates[*best])) {
      ++equals;
      if (DrawIndex(equals, random) == 0) {
        best = i;
      }
    }
  }
  return best;
}

}  // namespace

auto ChooseWorker(ChoiceMethod method,
                  std::span<const WorkerCandidate> candidates,
                  Random& random) -> std::optional<std::size_t> {
  switch (method) {
    case ChoiceMethod::kUniformRandom:
      return ChooseUniform(candidates, random);
    case ChoiceMethod::kTwoChoices:
      return ChooseOfTwo(candidates, random);
    case ChoiceMethod::kLeastReported:
      return ChooseLeastReported(candidates, random);
    case ChoiceMethod::kSlotShares:
      break;
  }
  return ChooseBySlots(candidates, random);
}

auto ChooseUniform(std::span<const WorkerCandidate> candidates, Random& random)
    -> std::optional<std::size_t> {
  if (candidates.empty()) {
    return std::nullopt;
  }
  return DrawIndex(candidates.size(), random);
}

auto ChooseOfTwo(std::span<const WorkerCandidate> candidates, Random& random)
    -> std::optional<std::size_t> {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::size_t first = DrawIndex(candidates.size(), random);
  const std::size_t second = DrawIndex(candidates.size(), random);
  return candidates[second].local_in_flight < candidates[first].local_in_flight
             ? second
             : first;
}

auto ChooseLeastReported(std::span<const WorkerCandidate> candidates,
                         Random& random) -> std::optional<std::size_t> {
  return ChooseLowest(
      candidates, random,
      [](const WorkerCandidate& candidate) -> std::optional<int> {
        return std::max(candidate.reported_in_flight,
                        candidate.local_in_flight);
      });
}

auto ChooseBySlots(std::span<const WorkerCandidate> candidates, Random& random)
    -> std::optional<std::size_t> {
  using Cost = std::tuple<bool, bool, int>;
  return ChooseLowest(
      candidates, random,
      [](const WorkerCandidate& candidate) -> std::optional<Cost> {
        if (candidate.free_slots <= 0) {
          return std::nullopt;
        }
        return Cost(candidate.suspect, !candidate.own_zone,
                    candidate.local_in_flight);
      });
}

}  // namespace fireflythread
