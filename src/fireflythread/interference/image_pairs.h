#ifndef FIREFLYTHREAD_INTERFERENCE_IMAGE_PAIRS_H_
#define FIREFLYTHREAD_INTERFERENCE_IMAGE_PAIRS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "fireflythread/base/time.h"

namespace fireflythread {

/// Hash of an image's name, which may be long. 0 for no image.
using ImageKey = std::uint64_t;

[[nodiscard]] auto KeyOfImage(std::string_view image) -> ImageKey;

/// An image that runs on the same worker as an observed serving task.
struct Neighbour {
  ImageKey image = 0;
  /// Speed limit of its tasks, from 0 to 1.
  double speed = 1;
};

/// One report about a serving task.
struct ImageObservation {
  ImageKey image = 0;
  /// Distinguishes workers.
  std::uint64_t worker = 0;
  /// Reported tail latency, as a multiple of the task's target.
  double pressure = 0;
  /// Other images on the worker; each is listed once.
  std::vector<Neighbour> neighbours;
};

/// What is known of the effect of one image on the tail latency of another.
struct PairEvidence {
  /// Natural logarithm of the factor by which the tail latency grows.
  double effect = 0;
  int observations = 0;
  TimePoint seen_at;
  /// One bit for each worker, by hash, where the pair was observed.
  std::uint64_t workers = 0;
  /// Number of separate periods in which the pair was observed.
  int periods = 0;
};

/// The usual tail latency of an image, without neighbours.
struct ImageLevel {
  /// Natural logarithm of the pressure.
  double level = 0;
  TimePoint seen_at;
};

/// The effects of images on each other, learned from reports. A report's
/// logarithm of pressure is predicted as the sum of the image's level, the
/// worker's slowness and the effects of its neighbours, and the error is
/// distributed among them (normalized least mean squares).
struct ImagePairs {
  /// Key: the affected image and its neighbour.
  std::map<std::pair<ImageKey, ImageKey>, PairEvidence> pairs;
  std::map<ImageKey, ImageLevel> levels;
  /// Logarithm of the factor by which a worker is slower than others.
  std::map<std::uint64_t, ImageLevel> workers;
  /// Pairs whose evidence sufficed when they were last observed.
  std::set<std::pair<ImageKey, ImageKey>> interfering;
};

/// Limits of the memory. When one is exceeded, the half without evidence of
/// interference that was seen least recently is removed.
constexpr std::size_t kMaxPairs = 4096;
constexpr std::size_t kMaxLevels = 1024;
/// Neighbours of one task that are considered in one observation.
constexpr std::size_t kMaxNeighbours = 16;

/// Applies an observation.
auto Learn(ImagePairs& pairs,
           const ImageObservation& observation,
           TimePoint now) -> void;

/// Returns the logarithm of the factor by which `neighbour` increases the tail
/// latency of `image`, or 0 while the evidence is too small, too old or from
/// only one period on one worker.
[[nodiscard]] auto EffectOf(const ImagePairs& pairs,
                            ImageKey image,
                            ImageKey neighbour,
                            TimePoint now) -> double;

/// Returns whether an image is part of a pair that may interfere.
[[nodiscard]] auto MayInterfere(const ImagePairs& pairs, ImageKey image)
    -> bool;

/// Returns the number of pairs that interfere.
[[nodiscard]] auto CountInterfering(const ImagePairs& pairs, TimePoint now)
    -> int;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_INTERFERENCE_IMAGE_PAIRS_H_
