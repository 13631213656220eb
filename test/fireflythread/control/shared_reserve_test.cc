#include "fireflythread/control/shared_reserve.h"

#include <catch2/catch.hpp>

namespace fireflythread {

// Guards against a reserve that is too large where one pool can make room only
// after another has: the second pool must go to rack 3 before the first or the
// third can go to rack 2.
TEST_CASE("the reserve is the least one over chains of replacements") {
  const RackName one("rack-1");
  const RackName two("rack-2");
  const RackName three("rack-3");
  const RackName four("rack-4");
  const SharedReserve reserve = PlanSharedReserve({{1, {{one, 1}, {two, 1}}},
                                                   {1, {{two, 1}, {three, 1}}},
                                                   {1, {{one, 1}, {two, 1}}},
                                                   {0, {{four, 1}}}});
  CHECK(reserve.vms == 1);
}

}  // namespace fireflythread
