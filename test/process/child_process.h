#ifndef TEST_PROCESS_CHILD_PROCESS_H_
#define TEST_PROCESS_CHILD_PROCESS_H_

#include <gio/gio.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace fireflythread::test {

/// A program that a test started. It is killed, by its id, at the latest when
/// this object goes.
class ChildProcess {
 public:
  /// Standard error goes to the file `log`.
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& log);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  auto operator=(const ChildProcess&) -> ChildProcess& = delete;

  /// The next line of its standard output; empty at the end.
  auto ReadLine() -> std::string;
  /// Everything that is left of its standard output; waits for its end.
  auto ReadAll() -> std::string;

  auto Signal(int signal_number) -> void;
  /// SIGKILL, and waits for the end.
  auto Kill() -> void;
  /// SIGSTOP.
  auto Freeze() -> void;
  /// SIGCONT.
  auto Resume() -> void;
  [[nodiscard]] auto IsRunning() const -> bool;
  /// The exit status; no value if it still runs after the limit or was ended by
  /// a signal.
  auto WaitForExit(std::chrono::milliseconds limit) -> std::optional<int>;

 private:
  GSubprocess* process;
  GDataInputStream* output;
};

}  // namespace fireflythread::test

#endif  // TEST_PROCESS_CHILD_PROCESS_H_
