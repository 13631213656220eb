#ifndef TEST_FIREFLYTHREAD_FLEET_SEEDED_CHECK_H_
#define TEST_FIREFLYTHREAD_FLEET_SEEDED_CHECK_H_

#include <rapidcheck.h>

#include <cstdint>
#include <iostream>
#include <utility>

namespace fireflythread {

/// rc::check with a fixed seed, so that a run is repeatable. Prints only
/// failures.
template <typename Testable>
auto CheckSeeded(std::uint64_t seed, Testable&& testable) -> bool {
  rc::detail::TestParams params;
  params.seed = seed;
  const auto result = rc::detail::checkTestable(
      std::forward<Testable>(testable), rc::detail::TestMetadata{}, params);
  const bool passed = result.template is<rc::detail::SuccessResult>();
  if (!passed) {
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << '\n';
  }
  return passed;
}

}  // namespace fireflythread

#endif  // TEST_FIREFLYTHREAD_FLEET_SEEDED_CHECK_H_
