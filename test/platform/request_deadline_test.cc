#include "platform/request_deadline.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace fireflythread::adapter::test {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

auto MakeRequest(int deadline_ms, milliseconds waited) -> ServerRequest {
  ServerRequest request;
  request.deadline_ms = deadline_ms;
  request.waited = waited;
  return request;
}

TEST_CASE("A request counts its deadline from its arrival", "[platform]") {
  // Guards against a submission that a paused entry reads after its caller has
  // given up, and stores.
  CHECK(DeadlineOf(MakeRequest(3000, milliseconds(0)), kNow) ==
        kNow + milliseconds(2850));
  CHECK(DeadlineOf(MakeRequest(3000, milliseconds(1000)), kNow) ==
        kNow + milliseconds(1850));
  CHECK_FALSE(HasExpired(MakeRequest(3000, milliseconds(2999))));
  CHECK(HasExpired(MakeRequest(3000, milliseconds(3000))));
}

TEST_CASE("A request whose caller still waits gets time for a try",
          "[platform]") {
  // Guards against a caller who is refused after a pause although the store
  // would have taken the job in time.
  CHECK(DeadlineOf(MakeRequest(3000, milliseconds(2800)), kNow) ==
        kNow + milliseconds(500));
  CHECK_FALSE(HasExpired(MakeRequest(3000, milliseconds(2800))));
  // One that did not wait has its own deadline, however short.
  CHECK(DeadlineOf(MakeRequest(200, milliseconds(0)), kNow) ==
        kNow + milliseconds(100));
}

TEST_CASE("A request without a deadline is taken after a pause", "[platform]") {
  // Guards against the refusal of a caller who may still wait, and against a
  // request that is older than the tombstone of its job.
  CHECK(DeadlineOf(MakeRequest(0, milliseconds(5000)), kNow) ==
        kNow + milliseconds(2850));
  CHECK_FALSE(HasExpired(MakeRequest(0, milliseconds(5000))));
  CHECK(HasExpired(MakeRequest(0, std::chrono::minutes(2))));
  CHECK(HasExpired(MakeRequest(600000, std::chrono::minutes(2))));
}

}  // namespace
}  // namespace fireflythread::adapter::test
