#ifndef FIREFLYTHREAD_BASE_ASSERT_H_
#define FIREFLYTHREAD_BASE_ASSERT_H_

namespace fireflythread::internal {

/// Writes the failed condition and its message to standard error and aborts.
[[noreturn]] auto FailAssertion(const char* condition,
                                const char* message,
                                const char* file,
                                int line) -> void;

}  // namespace fireflythread::internal

/// Stops the process when an invariant is broken. Enabled in all builds.
/// Expected failures are values and never go through this macro.
#define FIREFLYTHREAD_ASSERT(condition, message)                              \
  do {                                                                        \
    if (!(condition)) {                                                       \
      ::fireflythread::internal::FailAssertion(#condition, message, __FILE__, \
                                               __LINE__);                     \
    }                                                                         \
  } while (false)

#endif  // FIREFLYTHREAD_BASE_ASSERT_H_
