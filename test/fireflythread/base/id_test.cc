#include <catch2/catch.hpp>

#include "fireflythread/base/ids.h"

namespace fireflythread {

// Guards against ids that compare by anything but their name, which would
// route a request to another VM of a map.
TEST_CASE("ids order and compare by name") {
  const VmId first("worker-01");
  const VmId second("worker-02");
  CHECK(first < second);
  CHECK(first == VmId("worker-01"));
  CHECK(VmId().empty());
}

}  // namespace fireflythread
