#ifndef FIREFLYTHREAD_ROUTING_WORKER_CHOICE_H_
#define FIREFLYTHREAD_ROUTING_WORKER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "fireflythread/base/random.h"

namespace fireflythread {

/// A worker that may be chosen for a request, with its observed load.
struct WorkerCandidate {
  /// Slots that this entry may use and that are not busy.
  int free_slots = 0;
  /// Requests of this entry that are in flight to the worker.
  int local_in_flight = 0;
  /// Requests of all entries, as reported in the worker's last answer.
  int reported_in_flight = 0;
  bool own_zone = false;
  /// The worker failed lately; it is chosen only if no other can be.
  bool suspect = false;
};

/// How a worker is chosen. The service uses kSlotShares; the other methods
/// serve as baselines for comparison.
enum class ChoiceMethod : std::uint8_t {
  kUniformRandom,
  kTwoChoices,
  kLeastReported,
  kSlotShares
};

/// Chooses a worker and returns its index; no value when there is none. Only
/// kSlotShares requires a free slot; the other methods choose a worker however
/// high its load is.
[[nodiscard]] auto ChooseWorker(ChoiceMethod method,
                                std::span<const WorkerCandidate> candidates,
                                Random& random) -> std::optional<std::size_t>;

/// Chooses a worker at random, all with the same probability.
[[nodiscard]] auto ChooseUniform(std::span<const WorkerCandidate> candidates,
                                 Random& random) -> std::optional<std::size_t>;

/// Draws two workers at random and chooses the one with fewer local requests.
[[nodiscard]] auto ChooseOfTwo(std::span<const WorkerCandidate> candidates,
                               Random& random) -> std::optional<std::size_t>;

/// Chooses the worker with the fewest requests, at random among equals. The
/// number is the larger one of the worker's last report and this entry's own
/// requests in flight.
[[nodiscard]] auto ChooseLeastReported(
    std::span<const WorkerCandidate> candidates,
    Random& random) -> std::optional<std::size_t>;

/// Chooses among the workers with a free slot: workers that are not suspect
/// first, then those in this entry's zone, then those with the fewest local
/// requests, at random among equals.
[[nodiscard]] auto ChooseBySlots(std::span<const WorkerCandidate> candidates,
                                 Random& random) -> std::optional<std::size_t>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ROUTING_WORKER_CHOICE_H_
