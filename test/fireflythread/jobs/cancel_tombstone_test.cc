#include "fireflythread/jobs/cancel_tombstone.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "fireflythread/jobs/job_codec.h"
#include "fireflythread/jobs/tombstone_budget.h"

namespace fireflythread::test {
namespace {

constexpr WallTime kNow{std::chrono::hours(7)};
constexpr TimePoint kStart{std::chrono::hours(1)};
const OrganisationName kNorth("north");
const OrganisationName kSouth("south");

TEST_CASE("A tombstone is decoded as it was encoded", "[jobs]") {
  // Guards against a tombstone that another entry takes for a job.
  const CancelTombstone tombstone =
      WithCancellation(WithCancellation({}, kNorth, WallTime()), {}, kNow);
  const std::string text = EncodeCancelTombstone(tombstone);
  const auto decoded = DecodeCancelTombstone(text);
  REQUIRE(decoded);
  CHECK(decoded->cancelled_at == kNow);
  CHECK(decoded->organisations == tombstone.organisations);
  CHECK(decoded->by_anybody);
  CHECK_FALSE(DecodeEndedJob(text));
  CHECK(DecodeEndedTime(text) == kNow);

  const std::string job = EncodeEndedJob({JobState::kCancelled, kNow, kNorth});
  CHECK_FALSE(DecodeCancelTombstone(job));
  CHECK(DecodeEndedJob(job));
  for (const char* odd :
       {"", "{}", "[]", "7", R"({"ended_ms":1,"cancelled_by":7})",
        R"({"ended_ms":1,"cancelled_by":[7]})", R"({"cancelled_by":[]})",
        R"({"ended_ms":1,"cancelled_by":[],"cancelled_by_anybody":"x"})"}) {
    INFO(odd);
    CHECK_FALSE(DecodeCancelTombstone(odd));
    CHECK_FALSE(DecodeEndedJob(odd));
  }
}

TEST_CASE("A tombstone counts for those who could cancel the job", "[jobs]") {
  // Guards against one organisation that prevents another one's jobs.
  const CancelTombstone north = WithCancellation({}, kNorth, kNow);
  CHECK(IsCancelled(north, kNorth));
  CHECK_FALSE(IsCancelled(north, kSouth));
  CHECK(IsCancelled(north, {}));
  const CancelTombstone nobody = WithCancellation({}, OrganisationName(), kNow);
  CHECK_FALSE(IsCancelled(nobody, kNorth));
  CHECK(IsCancelled(nobody, {}));
  const CancelTombstone anybody = WithCancellation({}, {}, kNow);
  CHECK(IsCancelled(anybody, kNorth));
  CHECK(IsCancelled(anybody, {}));
  CHECK_FALSE(IsCancelled(CancelTombstone{}, {}));
}

TEST_CASE("One organisation leaves tombstones to others", "[jobs]") {
  // Guards against a caller who uses up what an entry may write, and against a
  // limit that never ends.
  TombstoneBudget budget;
  int taken = 0;
  while (TryTake(budget, kNorth, kStart)) {
    ++taken;
    REQUIRE(taken < 10000);
  }
  CHECK(taken == 200);
  CHECK(TryTake(budget, kSouth, kStart));
  CHECK_FALSE(TryTake(budget, kNorth, kStart));
  CHECK(TryTake(budget, kNorth, kStart + std::chrono::seconds(1)));
  // A bucket that is full again takes no memory.
  CHECK_FALSE(budget.organisations.contains(kSouth));
  CHECK(TryTake(budget, kSouth, kStart + std::chrono::minutes(5)));
  CHECK_FALSE(budget.organisations.contains(kNorth));
}

TEST_CASE("An entry writes a limited number of tombstones", "[jobs]") {
  // Guards against many organisations that fill the store together.
  TombstoneBudget budget;
  int taken = 0;
  for (int number = 0; number < 1000; ++number) {
    const OrganisationName caller("team" + std::to_string(number));
    taken += TryTake(budget, caller, kStart) ? 1 : 0;
  }
  CHECK(taken == 400);
}

}  // namespace
}  // namespace fireflythread::test
