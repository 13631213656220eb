#include "fireflythread/control/shared_reserve.h"

#include <catch2/catch.hpp>

namespace fireflythread {

// Guards against a reserve that is too large because only direct replacements
// are tried: the second pool must move to rack 3 before the first or the third
// can move to rack 2.
TEST_CASE("the reserve is minimal when it takes a chain of replacements") {
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
