#include "fireflythread/interference/image_pairs.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fireflythread/base/random.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ImageKey kServing = KeyOfImage("serving");
const ImageKey kGuilty = KeyOfImage("guilty");
const ImageKey kOther = KeyOfImage("other-guilty");
const ImageKey kInnocent = KeyOfImage("innocent");

/// Workers that each run one task of image "serving" and report twice a second
/// with 10% of noise. Every few seconds their neighbours change.
class ReportingWorkers {
 public:
  explicit ReportingWorkers(std::uint64_t seed, int worker_count = 6)
      : random(seed), count(worker_count) {}

  /// Reports for this long. Each image of `candidates` is on a worker for half
  /// of the time.
  auto Run(seconds time, const std::vector<ImageKey>& candidates) -> void {
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += milliseconds(500)) {
      for (int worker = 0; worker < this->count; ++worker) {
        if (this->random() % 6 == 0) {
          this->PickNeighbours(worker, candidates);
        }
        Learn(this->pairs, this->Observe(worker), this->now);
      }
    }
  }

  auto Observe(int worker) -> ImageObservation {
    std::normal_distribution<double> noise(0, 0.1);
    double logarithm = std::log(0.6 * this->load) + noise(this->random);
    for (const Neighbour& each : this->neighbours[worker]) {
      const auto effect = this->effects.find(each.image);
      logarithm += effect == this->effects.end() ? 0 : effect->second;
    }
    if (worker == this->slow_worker) {
      logarithm += std::log(2);
    }
    if (this->random() % 100 < this->spike_percent) {
      logarithm += std::log(20);
    }
    return {kServing, static_cast<std::uint64_t>(worker) + 1,
            std::exp(logarithm), this->neighbours[worker]};
  }

  [[nodiscard]] auto Effect(ImageKey image) const -> double {
    return EffectOf(this->pairs, kServing, image, this->now);
  }

  ImagePairs pairs;
  TimePoint now{std::chrono::hours(1)};
  /// Logarithm of each image's true effect on "serving".
  std::map<ImageKey, double> effects;
  std::map<int, std::vector<Neighbour>> neighbours;
  double load = 1;
  int slow_worker = -1;
  unsigned spike_percent = 0;
  Random random;

 private:
  auto PickNeighbours(int worker, const std::vector<ImageKey>& candidates)
      -> void {
    this->neighbours[worker].clear();
    for (const ImageKey image : candidates) {
      if (this->random() % 2 == 0) {
        this->neighbours[worker].push_back({image, 1});
      }
    }
  }

  int count;
};

TEST_CASE("An image that doubles the tail latency is found", "[interference]") {
  // Load: 6 workers, 2 reports a second each, 60 s, neighbour half of the time.
  // Guards against interference that is never noticed.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ReportingWorkers workers(seed);
    workers.effects[kGuilty] = std::log(2);
    workers.Run(seconds(60), {kGuilty});
    CHECK(workers.Effect(kGuilty) > 0);
    CHECK(MayInterfere(workers.pairs, kServing));
    CHECK(CountInterfering(workers.pairs, workers.now) == 1);
  }
}

TEST_CASE("An innocent image beside two guilty ones is not blamed",
          "[interference]") {
  // Load: as above with three neighbours that come and go independently.
  // Guards against blaming whatever runs beside the cause.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ReportingWorkers workers(seed);
    workers.effects[kGuilty] = std::log(2);
    workers.effects[kOther] = std::log(2);
    workers.Run(seconds(120), {kGuilty, kOther, kInnocent});
    CHECK(workers.Effect(kGuilty) > 0);
    CHECK(workers.Effect(kOther) > 0);
    CHECK(workers.Effect(kInnocent) == 0);
  }
}

TEST_CASE("An effect that ends is forgotten", "[interference]") {
  // Load: 60 s with the effect, 60 s without. Guards against keeping images
  // apart for ever.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ReportingWorkers workers(seed);
    workers.effects[kGuilty] = std::log(2);
    workers.Run(seconds(60), {kGuilty});
    REQUIRE(workers.Effect(kGuilty) > 0);
    workers.effects.clear();
    workers.Run(seconds(60), {kGuilty});
    CHECK(workers.Effect(kGuilty) == 0);
  }
}

TEST_CASE("Evidence expires for a pair that is kept apart", "[interference]") {
  // Load: 60 s with the effect, then no report for 10 minutes.
  ReportingWorkers workers(1);
  workers.effects[kGuilty] = std::log(2);
  workers.Run(seconds(60), {kGuilty});
  REQUIRE(workers.Effect(kGuilty) > 0);
  workers.now += std::chrono::minutes(10);
  CHECK(workers.Effect(kGuilty) == 0);
}

TEST_CASE("Slow workers, load peaks and spikes are not interference",
          "[interference]") {
  // Load: 120 s beside an image without effect. Guards against blaming
  // neighbours for what has another cause.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ReportingWorkers workers(seed);
    SECTION("one worker at half speed") {
      workers.slow_worker = 0;
      workers.Run(seconds(120), {kInnocent});
    }
    SECTION("4.5 s of every 18 s at three times the load") {
      for (int phase = 0; phase < 7; ++phase) {
        workers.load = 1;
        workers.Run(seconds(13), {kInnocent});
        workers.load = 3;
        workers.Run(seconds(4), {kInnocent});
      }
      workers.load = 1;
      workers.Run(seconds(1), {kInnocent});
    }
    SECTION("5% of the reports at 20 times the tail, during a checkpoint") {
      workers.spike_percent = 5;
      workers.Run(seconds(120), {kInnocent});
    }
    CHECK(workers.Effect(kInnocent) == 0);
  }
}

TEST_CASE("A single report has little influence", "[interference]") {
  // Load: 120 s beside an image without effect; each 10 s one report has 20
  // times the usual tail. Guards against an image that is avoided for a while
  // after each checkpoint.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ReportingWorkers workers(seed);
    workers.Run(seconds(30), {kInnocent});
    for (int round = 0; round < 12; ++round) {
      workers.neighbours[0] = {{kInnocent, 1}};
      workers.spike_percent = 100;
      Learn(workers.pairs, workers.Observe(0), workers.now);
      workers.spike_percent = 0;
      CHECK(workers.Effect(kInnocent) == 0);
      workers.Run(seconds(10), {kInnocent});
    }
  }
}

TEST_CASE("A worker that becomes slow does not prove interference",
          "[interference]") {
  // Load: one worker, whose speed halves when a neighbour arrives that stays
  // for 60 s. Guards against avoiding an image because of a worker with a
  // fault.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ReportingWorkers workers(seed, 1);
    workers.Run(seconds(60), {});
    workers.slow_worker = 0;
    for (int report = 0; report < 120; ++report) {
      workers.neighbours[0] = {{kInnocent, 1}};
      Learn(workers.pairs, workers.Observe(0), workers.now);
      workers.now += milliseconds(500);
      CHECK(workers.Effect(kInnocent) == 0);
    }
  }
}

TEST_CASE("On one worker, repeated periods prove interference",
          "[interference]") {
  // Load: one worker; the neighbour is there for 10 s of each 20 s. Guards
  // against images of few tasks, of which nothing is learned.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    ReportingWorkers workers(seed, 1);
    workers.effects[kGuilty] = std::log(2.5);
    for (int report = 0; report < 240; ++report) {
      const bool is_there = report % 40 < 20;
      workers.neighbours[0].clear();
      workers.neighbours[0].push_back({kInnocent, 1});
      if (is_there) {
        workers.neighbours[0].push_back({kGuilty, 1});
      }
      Learn(workers.pairs, workers.Observe(0), workers.now);
      workers.now += milliseconds(500);
    }
    CHECK(workers.Effect(kGuilty) > 0);
    CHECK(workers.Effect(kInnocent) == 0);
  }
}

TEST_CASE("A crowd of images takes bounded memory and pushes out no evidence",
          "[interference]") {
  // Load: 30,000 images that are each seen once, beside a pair that interferes.
  ReportingWorkers workers(1);
  workers.effects[kGuilty] = std::log(2);
  workers.Run(seconds(60), {kGuilty});
  for (int number = 0; number < 30'000; ++number) {
    const ImageKey image = KeyOfImage("image-" + std::to_string(number));
    Learn(workers.pairs,
          {image,
           1 + workers.random() % 1000,
           0.6,
           {{kOther, 1}, {KeyOfImage("late-" + std::to_string(number)), 1}}},
          workers.now);
    CHECK(workers.pairs.pairs.size() <= kMaxPairs);
    CHECK(workers.pairs.levels.size() <= kMaxLevels);
    CHECK(workers.pairs.workers.size() <= kMaxLevels);
  }
  CHECK(workers.Effect(kGuilty) > 0);
}

TEST_CASE("Interfering pairs take bounded memory too", "[interference]") {
  // Load: 8,192 pairs that all interfere. Guards against evidence that is kept
  // because it is important and so fills the memory.
  ImagePairs pairs;
  const TimePoint now{std::chrono::hours(1)};
  for (ImageKey image = 1; image <= 8192; ++image) {
    PairEvidence evidence{1, 100, now, ~std::uint64_t{0}};
    pairs.pairs[{image, kGuilty}] = evidence;
    pairs.interfering.insert({image, kGuilty});
    Learn(pairs, {image, 1, 5, {{kGuilty, 1}}}, now);
    CHECK(pairs.pairs.size() <= kMaxPairs + 1);
  }
}

TEST_CASE("Many neighbours are cut off", "[interference]") {
  // Load: one task beside 500 images.
  ImagePairs pairs;
  ImageObservation observation{kServing, 1, 2, {}};
  for (ImageKey image = 1; image <= 500; ++image) {
    observation.neighbours.push_back({image, 1});
  }
  Learn(pairs, observation, TimePoint(seconds(1)));
  CHECK(pairs.pairs.size() == kMaxNeighbours);
}

TEST_CASE("Reports out of order do no harm", "[interference]") {
  // Load: as the first test, with each second report applied with a time 3 s
  // earlier. Guards against effects that grow with a negative age.
  ReportingWorkers workers(1);
  workers.effects[kGuilty] = std::log(2);
  for (int round = 0; round < 120; ++round) {
    workers.Run(seconds(1), {kGuilty, kInnocent});
    for (int worker = 0; worker < 6; ++worker) {
      Learn(workers.pairs, workers.Observe(worker), workers.now - seconds(3));
    }
  }
  CHECK(workers.Effect(kGuilty) > 0);
  CHECK(workers.Effect(kGuilty) < std::log(4));
  CHECK(workers.Effect(kInnocent) == 0);
}

TEST_CASE("Reports without an image or a figure teach nothing",
          "[interference]") {
  ImagePairs pairs;
  Learn(pairs, {0, 1, 2, {{kGuilty, 1}}}, TimePoint(seconds(1)));
  Learn(pairs, {kServing, 1, 0, {{kGuilty, 1}}}, TimePoint(seconds(1)));
  CHECK(pairs.pairs.empty());
  CHECK(pairs.levels.empty());
  CHECK_FALSE(MayInterfere(pairs, 0));
}

}  // namespace
}  // namespace fireflythread::test
