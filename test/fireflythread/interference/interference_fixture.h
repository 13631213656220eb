#ifndef TEST_FIREFLYTHREAD_INTERFERENCE_INTERFERENCE_FIXTURE_H_
#define TEST_FIREFLYTHREAD_INTERFERENCE_INTERFERENCE_FIXTURE_H_

#include <limits>
#include <string>

#include "fireflythread/interference/image_pairs.h"
#include "test/fireflythread/jobs/shard_fixture.h"

namespace fireflythread::test {

/// One long-running serving task with a target of 100 ms.
inline auto ServingStep(const std::string& image) -> JobStep {
  JobStep step = ShardFixture::Step(1, 1000);
  step.long_running = true;
  step.image = image;
  step.latency_target = milliseconds(100);
  return step;
}

/// One finite filler that needs a quarter of a worker's memory.
inline auto FillerStep(const std::string& image) -> JobStep {
  JobStep step = ShardFixture::Step(1, 1000);
  step.size.memory_mb = 4000;
  step.filler = true;
  step.image = image;
  return step;
}

/// Makes `neighbour` known to increase the tail latency of `image` by a factor
/// of e.
inline auto SetInterference(ShardFixture& shard,
                            const std::string& image,
                            const std::string& neighbour,
                            double effect = 1) -> void {
  const std::pair key{KeyOfImage(image), KeyOfImage(neighbour)};
  shard.state.image_pairs.pairs[key] = {
      effect, 1000, shard.now, std::numeric_limits<std::uint64_t>::max()};
  shard.state.image_pairs.interfering.insert(key);
}

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_INTERFERENCE_INTERFERENCE_FIXTURE_H_
