#ifndef TEST_FIREFLYTHREAD_JOBS_RUN_LEDGER_H_
#define TEST_FIREFLYTHREAD_JOBS_RUN_LEDGER_H_

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "fireflythread/base/time.h"
#include "fireflythread/jobs/task_name.h"

namespace fireflythread::test {

/// What the workers of a simulation really ran: the oracle of its properties.
class RunLedger {
 public:
  /// Notes that a run begins. It is a breach if another run of its task is
  /// going on, or has ended as done and that end was acknowledged.
  auto Begin(const TaskName& task,
             int run,
             const std::string& worker,
             TimePoint now) -> std::size_t;
  auto End(std::size_t record, bool done, TimePoint now) -> void;
  /// Notes that the lease under which a run was done has expired since.
  auto Expire(std::size_t record) -> void;
  /// Notes that the owner has acknowledged the end of a run. It is a breach if
  /// a later run of its task has begun. Without effect if the lease has expired
  /// since the end, as the owner may have given the run up then.
  auto Acknowledge(std::size_t record, TimePoint now) -> void;

  [[nodiscard]] auto IsDone(const TaskName& task) const -> bool;
  [[nodiscard]] auto IsRunning(const TaskName& task) const -> bool;
  [[nodiscard]] auto Count() const -> std::size_t {
    return this->records.size();
  }

  std::vector<std::string> breaches;

 private:
  struct Record {
    TaskName task;
    int run = 0;
    std::string worker;
    TimePoint began;
    TimePoint ended;
    bool running = true;
    bool done = false;
    bool expired = false;
    bool acknowledged = false;
  };

  auto AddBreach(const Record& later, const Record& earlier, TimePoint now)
      -> void;

  std::vector<Record> records;
  std::map<TaskName, std::vector<std::size_t>> by_task;
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_JOBS_RUN_LEDGER_H_
