#include "fireflythread/jobs/neighbours.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>
#include <vector>

#include "fireflythread/base/stable_hash.h"

namespace fireflythread {
namespace {

/// A run that was just started may have a high tail latency of its own, and one
/// of the former owner is observed anew.
constexpr std::chrono::seconds kColdStart{3};

/// Tasks of a worker that are looked at for one decision or report.
constexpr int kMaxTasks = 64;

constexpr double kFullSpeed = 100;

/// A running task with an image.
struct PresentTask {
  ImageKey image = 0;
  const JobStep* step = nullptr;
  const TaskState* task = nullptr;
};

auto ListPresent(const ShardState& state, const ShardWorker& worker)
    -> std::vector<PresentTask> {
  std::vector<PresentTask> present;
  int looked_at = 0;
  for (const TaskName& name : worker.tasks) {
    if (++looked_at > kMaxTasks) {
      break;
    }
    const JobStep& step = StepOf(state, name);
    if (!step.image.empty()) {
      present.push_back({KeyOfImage(step.image), &step, &TaskOf(state, name)});
    }
  }
  return present;
}

/// Returns the images beside one of the tasks, each once, at the highest speed
/// of its tasks.
auto ListNeighbours(const std::vector<PresentTask>& present,
                    const PresentTask& self) -> std::vector<Neighbour> {
  std::vector<Neighbour> neighbours;
  for (const PresentTask& each : present) {
    if (&each == &self || each.task->phase != RunPhase::kRunning) {
      continue;
    }
    const double speed = each.task->speed_percent / kFullSpeed;
    const auto known = std::find_if(
        neighbours.begin(), neighbours.end(),
        [&](const Neighbour& other) { return other.image == each.image; });
    if (known == neighbours.end()) {
      neighbours.push_back({each.image, speed});
    } else {
      known->speed = std::max(known->speed, speed);
    }
  }
  return neighbours;
}

auto IsObserved(const PresentTask& each, TimePoint now) -> bool {
  return IsServing(*each.step) && each.task->phase == RunPhase::kRunning &&
         each.task->usage > 0 && now - each.task->since >= kColdStart;
}

}  // namespace

auto ObserveNeighbours(ShardState& state,
                       const ShardWorker& worker,
                       TimePoint sent_at,
                       TimePoint now) -> void {
  // The tasks beside may have changed since a late report was made.
  if (worker.serving_tasks == 0 || now - sent_at > state.limits.poll_wait * 2) {
    return;
  }
  const std::vector<PresentTask> present = ListPresent(state, worker);
  for (const PresentTask& each : present) {
    if (!IsObserved(each, now)) {
      continue;
    }
    ImageObservation observation;
    observation.image = each.image;
    observation.worker = StableHash(worker.view.id.value);
    observation.pressure =
        static_cast<double>(each.task->usage) /
        static_cast<double>(each.step->latency_target.count());
    observation.neighbours = ListNeighbours(present, each);
    Learn(state.image_pairs, observation, now);
  }
}

auto InterferenceOn(const ShardState& state,
                    const ShardWorker& worker,
                    const JobStep& step,
                    TimePoint now) -> int {
  constexpr double kTenths = 10;
  const ImageKey image = KeyOfImage(step.image);
  double effect = 0;
  std::vector<ImageKey> counted;
  for (const PresentTask& each : ListPresent(state, worker)) {
    if (std::find(counted.begin(), counted.end(), each.image) !=
        counted.end()) {
      continue;
    }
    counted.push_back(each.image);
    effect += EffectOf(state.image_pairs, image, each.image, now) +
              EffectOf(state.image_pairs, each.image, image, now);
  }
  return static_cast<int>(std::ceil(effect * kTenths));
}

}  // namespace fireflythread
