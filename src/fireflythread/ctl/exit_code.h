#ifndef FIREFLYTHREAD_CTL_EXIT_CODE_H_
#define FIREFLYTHREAD_CTL_EXIT_CODE_H_

namespace fireflythread::ctl {

/// The program's exit status; scripts may rely on it.
enum class ExitCode : int {
  kOk = 0,
  /// The server refused the request or could not carry it out.
  kFailed = 1,
  kUsage = 2,
  /// Somebody else edited the object first.
  kConflict = 3,
  kNotFound = 4,
  /// Committed, but not accepted, in force or done within --timeout.
  kNotAcceptedInTime = 5,
  kUnreachable = 6,
  /// The token is missing, unknown or has too small a role.
  kUnauthorized = 7
};

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_EXIT_CODE_H_
