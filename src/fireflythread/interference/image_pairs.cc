#include "fireflythread/interference/image_pairs.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <cmath>

#include "fireflythread/base/stable_hash.h"

namespace fireflythread {
namespace {

/// Tail latency 25% above the usual, the least that counts as interference.
/// Reports are approximate, so smaller effects cannot be told from noise.
constexpr double kMinEffect = 0.22;

/// A pair that counts as interfering does so until its effect is below this:
/// one that is kept apart loses its evidence with time, and would otherwise be
/// placed together again soon after it was found.
constexpr double kMinKnownEffect = 0.1;

/// A pair counts as interfering after this many observations on at least two
/// workers, or in this many separate periods: seen once on a single worker, the
/// cause may be the worker itself.
constexpr int kMinObservations = 8;
constexpr int kMinWorkers = 2;
constexpr int kMinPeriods = 4;

/// A pair that was not seen anywhere for this long begins a new period. Reports
/// come every 2 s at least.
constexpr std::chrono::seconds kPeriodGap{3};

/// Evidence halves in this time without observations, so that a pair that is
/// kept apart is tried again.
constexpr std::chrono::seconds kHalfLife{60};

/// Parts of the error that each term absorbs. The level follows quickly, so
/// that a load peak, which concerns all tasks of the image, is not attributed
/// to neighbours; a worker's slowness changes rarely.
constexpr double kLevelStep = 0.25;
constexpr double kWorkerStep = 0.05;
constexpr double kEffectStep = 0.3;

/// Bounds the influence of one report: a checkpoint or a pause of the worker
/// increases a single figure by a large factor.
constexpr double kMaxError = 0.5;

/// Bounds of a reported pressure; a figure of 0 is not a measurement.
constexpr double kMinPressure = 0.01;
constexpr double kMaxPressure = 100;

constexpr std::uint64_t kWorkerBits = 64;

/// Returns the part of an effect that is left after the time without
/// observations. A report may be applied with an earlier time than the last.
auto Decayed(const PairEvidence& evidence, TimePoint now) -> double {
  const Duration age = std::max(now - evidence.seen_at, Duration(0));
  return evidence.effect * std::exp2(-std::chrono::duration<double>(age) /
                                     std::chrono::duration<double>(kHalfLife));
}

/// `known` is whether the pair has counted as interfering so far.
auto DecayedEffect(const PairEvidence& evidence, bool known, TimePoint now)
    -> double {
  if (evidence.observations < kMinObservations ||
      (std::popcount(evidence.workers) < kMinWorkers &&
       evidence.periods < kMinPeriods)) {
    return 0;
  }
  const double effect = Decayed(evidence, now);
  return effect < (known ? kMinKnownEffect : kMinEffect) ? 0 : effect;
}

/// Removes the half of the entries that was seen least recently, apart from
/// those that are kept.
template <typename Map, typename Keep>
auto RemoveOldest(Map& entries, const Keep& keep) -> void {
  std::vector<TimePoint> times;
  times.reserve(entries.size());
  for (const auto& [key, entry] : entries) {
    times.push_back(keep(key) ? TimePoint::max() : entry.seen_at);
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  const TimePoint limit = *middle;
  std::size_t excess = entries.size() / 2;
  std::erase_if(entries, [&](const auto& entry) -> bool {
    const bool remove =
        excess > 0 && !keep(entry.first) && entry.second.seen_at <= limit;
    excess -= remove ? 1 : 0;
    return remove;
  });
}

/// Keeps the maps within their limits. The interfering pairs are limited too:
/// beyond half of the memory all of them are dropped but the newest.
auto Limit(ImagePairs& pairs, TimePoint now) -> void {
  constexpr auto kNone = [](const auto& /*key*/) -> bool { return false; };
  if (pairs.levels.size() > kMaxLevels) {
    RemoveOldest(pairs.levels, kNone);
  }
  if (pairs.workers.size() > kMaxLevels) {
    RemoveOldest(pairs.workers, kNone);
  }
  if (pairs.pairs.size() <= kMaxPairs) {
    return;
  }
  std::erase_if(pairs.interfering, [&](const auto& key) -> bool {
    return DecayedEffect(pairs.pairs.at(key), true, now) <= 0;
  });
  if (pairs.interfering.size() > kMaxPairs / 4) {
    pairs.interfering.clear();
  }
  RemoveOldest(pairs.pairs, [&](const auto& key) -> bool {
    return pairs.interfering.contains(key);
  });
}

}  // namespace

auto KeyOfImage(std::string_view image) -> ImageKey {
  return image.empty() ? 0 : std::max<ImageKey>(StableHash(image), 1);
}

auto Learn(ImagePairs& pairs,
           const ImageObservation& observation,
           TimePoint now) -> void {
  if (observation.image == 0 || observation.pressure <= 0) {
    return;
  }
  const double measured =
      std::log(std::clamp(observation.pressure, kMinPressure, kMaxPressure));
  const auto [level, is_new] =
      pairs.levels.try_emplace(observation.image, ImageLevel{measured, now});
  level->second.seen_at = std::max(level->second.seen_at, now);
  ImageLevel& worker = pairs.workers[observation.worker];
  worker.seen_at = std::max(worker.seen_at, now);
  const std::size_t count =
      std::min(observation.neighbours.size(), kMaxNeighbours);
  double predicted = level->second.level + worker.level;
  double weight = 1;
  for (std::size_t index = 0; index < count; ++index) {
    const Neighbour& each = observation.neighbours[index];
    PairEvidence& evidence = pairs.pairs[{observation.image, each.image}];
    evidence.effect = Decayed(evidence, now);
    evidence.periods += now - evidence.seen_at > kPeriodGap ? 1 : 0;
    evidence.seen_at = std::max(evidence.seen_at, now);
    predicted += evidence.effect * each.speed;
    weight += each.speed * each.speed;
  }
  const double error = std::clamp(measured - predicted, -kMaxError, kMaxError);
  level->second.level += kLevelStep * error / weight;
  worker.level += kWorkerStep * error / weight;
  for (std::size_t index = 0; index < count; ++index) {
    const Neighbour& each = observation.neighbours[index];
    const std::pair key{observation.image, each.image};
    PairEvidence& evidence = pairs.pairs[key];
    evidence.effect = std::max(
        0.0, evidence.effect + kEffectStep * error * each.speed / weight);
    evidence.observations += each.speed > 0 ? 1 : 0;
    evidence.workers |= std::uint64_t{1}
                        << MixBits(observation.worker) % kWorkerBits;
    if (DecayedEffect(evidence, pairs.interfering.contains(key), now) > 0) {
      pairs.interfering.insert(key);
    } else {
      pairs.interfering.erase(key);
    }
  }
  Limit(pairs, now);
}

auto EffectOf(const ImagePairs& pairs,
              ImageKey image,
              ImageKey neighbour,
              TimePoint now) -> double {
  const std::pair key{image, neighbour};
  const auto found = pairs.pairs.find(key);
  return found == pairs.pairs.end()
             ? 0
             : DecayedEffect(found->second, pairs.interfering.contains(key),
                             now);
}

auto MayInterfere(const ImagePairs& pairs, ImageKey image) -> bool {
  return image != 0 &&
         std::any_of(pairs.interfering.begin(), pairs.interfering.end(),
                     [image](const auto& key) -> bool {
                       return key.first == image || key.second == image;
                     });
}

auto CountInterfering(const ImagePairs& pairs, TimePoint now) -> int {
  return static_cast<int>(
      std::count_if(pairs.interfering.begin(), pairs.interfering.end(),
                    [&](const auto& key) -> bool {
                      return EffectOf(pairs, key.first, key.second, now) > 0;
                    }));
}

}  // namespace fireflythread
