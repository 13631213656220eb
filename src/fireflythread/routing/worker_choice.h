#ifndef FIREFLYTHREAD_ROUTING_WORKER_CHOICE_H_
#define FIREFLYTHREAD_ROUTING_WORKER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "fireflythread/base/random.h"

namespace fireflythread {

/// What is known of a worker when one is chosen.
struct WorkerCandidate {
  /// Slots this entry may use and that are not busy.
  int free_slots = 0;
  /// Requests of this entry that run on it.
  int local_in_flight = 0;
  /// Requests of all entries, from the worker's last answer.
  int reported_in_flight = 0;
  bool own_zone = false;
  /// Failed lately; taken only if no other can be.
  bool suspect = false;
};

/// The service uses kSlotShares; the others are kept to be compared with it.
enum class ChoiceMethod : std::uint8_t {
  kUniformRandom,
  kTwoChoices,
  kLeastReported,
  kSlotShares
};

/// Chooses the index of a worker. Only kSlotShares looks at free slots and
/// finds none when no worker has one; the others choose whatever the load.
[[nodiscard]] auto ChooseWorker(ChoiceMethod method,
                                std::span<const WorkerCandidate> candidates,
                                Random& random) -> std::optional<std::size_t>;

/// Any worker, all with the same probability.
[[nodiscard]] auto ChooseUniform(std::span<const WorkerCandidate> candidates,
                                 Random& random) -> std::optional<std::size_t>;

/// The one with fewer local requests of two drawn at random.
[[nodiscard]] auto ChooseOfTwo(std::span<const WorkerCandidate> candidates,
                               Random& random) -> std::optional<std::size_t>;

/// The one with the fewest requests by its last report and those sent by this
/// entry, at random among equals.
[[nodiscard]] auto ChooseLeastReported(
    std::span<const WorkerCandidate> candidates,
    Random& random) -> std::optional<std::size_t>;

/// Among those with a free slot: not suspect before suspect, own zone before
/// others, then fewest local requests, at random among equals.
[[nodiscard]] auto ChooseBySlots(std::span<const WorkerCandidate> candidates,
                                 Random& random) -> std::optional<std::size_t>;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ROUTING_WORKER_CHOICE_H_
