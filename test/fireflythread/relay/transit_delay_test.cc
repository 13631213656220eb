#include "fireflythread/relay/transit_delay.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("A message that waited in a paused process is recognized",
          "[relay]") {
  // Guards against orders that are carried out long after they were sent,
  // because the receiver cannot compare its clock with the sender's.
  const TimePoint sender{std::chrono::hours(5)};
  const TimePoint receiver{std::chrono::hours(90)};
  TransitDelay transit;
  CHECK(RecordTransit(transit, sender, receiver + milliseconds(30)) ==
        Duration(0));
  CHECK(RecordTransit(transit, sender + seconds(1),
                      receiver + seconds(1) + milliseconds(10)) == Duration(0));
  CHECK(RecordTransit(transit, sender + seconds(2),
                      receiver + seconds(5) + milliseconds(10)) == seconds(3));
  CHECK(RecordTransit(transit, sender + seconds(6),
                      receiver + seconds(6) + milliseconds(15)) ==
        milliseconds(5));
}

TEST_CASE("Clocks that drift apart do not look like a delay", "[relay]") {
  // Guards against a relay peer that refuses all orders after an hour.
  const TimePoint sender{std::chrono::hours(5)};
  const TimePoint receiver{std::chrono::hours(90)};
  TransitDelay transit;
  for (int second = 0; second < 3600; ++second) {
    // The receiver's clock is two percent faster.
    const TimePoint sent_at = sender + seconds(second);
    const TimePoint now = receiver + milliseconds(1020) * second;
    CHECK(RecordTransit(transit, sent_at, now) < milliseconds(500));
  }
}

}  // namespace
}  // namespace fireflythread::test
