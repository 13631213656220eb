#ifndef TEST_FIREFLYTHREAD_JOBS_SIMULATED_WORKER_H_
#define TEST_FIREFLYTHREAD_JOBS_SIMULATED_WORKER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/order_verdict.h"
#include "fireflythread/jobs/poll_command.h"
#include "fireflythread/jobs/start_command.h"
#include "fireflythread/jobs/stop_command.h"
#include "fireflythread/jobs/task_name.h"
#include "fireflythread/jobs/worker_report.h"
#include "test/fireflythread/jobs/run_ledger.h"

namespace fireflythread::test {

/// A worker on virtual time that carries out orders as the users' protocol
/// says, through several incarnations.
class SimulatedWorker {
 public:
  using WorkTime = std::function<std::chrono::milliseconds(const TaskName&)>;

  /// `clock_percent` is the speed of the worker's clock. `work` returns how
  /// long a task works; zero stands for a task that never ends.
  SimulatedWorker(std::string id,
                  int clock_percent,
                  RunLedger& ledger,
                  WorkTime work);

  /// Begins a new incarnation, which knows nothing of the former one.
  auto Restart(TimePoint now) -> void;
  /// Ends the runs that are over or whose lease has expired.
  auto Advance(TimePoint now) -> void;

  auto Start(const StartCommand& start, TimePoint now) -> OrderReply;
  auto Stop(const StopCommand& stop, TimePoint now) -> OrderReply;
  /// Returns a report, or a reply that refuses the poll.
  auto Poll(const PollCommand& poll, TimePoint now)
      -> std::variant<WorkerReport, OrderReply>;

  [[nodiscard]] auto Id() const -> const std::string& { return this->id; }
  [[nodiscard]] auto Incarnation() const -> int { return this->incarnation; }
  [[nodiscard]] auto StartedAt() const -> std::chrono::milliseconds;
  [[nodiscard]] auto HasCompletions() const -> bool {
    return !this->ended.empty();
  }

 private:
  struct Run {
    int number = 0;
    TimePoint ends_at;
    std::size_t record = 0;
  };

  [[nodiscard]] auto Clock(TimePoint now) const -> std::chrono::milliseconds;
  auto Extend(std::chrono::milliseconds deadline, TimePoint now) -> void;
  [[nodiscard]] auto Reply(OrderVerdict verdict, TimePoint now) const
      -> OrderReply;
  auto End(const TaskName& task, RunResult result, TimePoint now) -> void;

  std::string id;
  int clock_percent;
  RunLedger& ledger;
  WorkTime work;
  int incarnation = 0;
  TimePoint origin;
  std::uint64_t fence = 0;
  std::chrono::milliseconds deadline{0};
  std::map<TaskName, Run> running;
  std::map<TaskName, int> highest;
  std::vector<RunCompletion> ended;
  /// Records of the ends in `ended`, by their number.
  std::map<std::uint64_t, std::size_t> records;
  std::uint64_t last_number = 0;
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_JOBS_SIMULATED_WORKER_H_
