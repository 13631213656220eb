#include "fireflythread/base/assert.h"

#include <cstdio>
#include <cstdlib>

namespace fireflythread::internal {

auto FailAssertion(const char* condition,
                   const char* message,
                   const char* file,
                   int line) -> void {
  std::fprintf(stderr, "%s:%d: invariant broken: %s (%s)\n", file, line,
               message, condition);
  std::abort();
}

}  // namespace fireflythread::internal
