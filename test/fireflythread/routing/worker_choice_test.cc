#include "fireflythread/routing/worker_choice.h"

#include <catch2/catch.hpp>

#include <array>

namespace fireflythread {

// Guards against sending without a free slot, to a suspect worker while another
// one is available, and to another zone while the own zone has free capacity.
TEST_CASE("workers are chosen by free slots, suspicion, zone and load") {
  Random random(1);
  std::array<WorkerCandidate, 4> workers = {{
      {.free_slots = 0, .own_zone = true},
      {.free_slots = 1, .own_zone = true, .suspect = true},
      {.free_slots = 2, .own_zone = false},
      {.free_slots = 1, .local_in_flight = 3, .own_zone = true},
  }};
  for (const std::size_t expected : {3U, 2U, 1U}) {
    CHECK(ChooseBySlots(workers, random) == expected);
    workers[expected].free_slots = 0;
  }
  CHECK_FALSE(ChooseBySlots(workers, random).has_value());
}

// Guards against sending every request to the first of several equal workers.
TEST_CASE("equal workers are chosen equally often") {
  Random random(7);
  const std::array<WorkerCandidate, 4> workers = {{{.free_slots = 1},
                                                   {.free_slots = 1},
                                                   {.free_slots = 1},
                                                   {.free_slots = 1}}};
  for (const ChoiceMethod method :
       {ChoiceMethod::kUniformRandom, ChoiceMethod::kTwoChoices,
        ChoiceMethod::kLeastReported, ChoiceMethod::kSlotShares}) {
    std::array<int, 4> counts{};
    for (int i = 0; i < 4000; ++i) {
      ++counts.at(*ChooseWorker(method, workers, random));
    }
    for (const int count : counts) {
      CHECK(count == Approx(1000).margin(150));
    }
  }
}

}  // namespace fireflythread
