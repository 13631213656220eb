#ifndef TEST_FIREFLYTHREAD_RELAY_FAKE_WORKERS_H_
#define TEST_FIREFLYTHREAD_RELAY_FAKE_WORKERS_H_

#include <chrono>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

#include "fireflythread/platform/worker_client.h"

namespace fireflythread::test {

/// Fake workers that record each order and answer when AnswerAll() is called.
class FakeWorkers : public WorkerClient {
 public:
  auto Start(const StartCommand& start, Duration, OrderCallback callback)
      -> void override {
    this->called.push_back(start.worker);
    std::this_thread::sleep_for(this->start_cost);
    this->open.emplace_back([done = std::move(callback)] {
      done({OrderVerdict::kDone, std::chrono::milliseconds(7), "as told"});
    });
  }

  auto Stop(const StopCommand& stop, Duration, OrderCallback callback)
      -> void override {
    this->called.push_back(stop.worker);
    this->open.emplace_back(
        [done = std::move(callback)] { done({OrderVerdict::kOldRun}); });
  }

  auto SetPace(const PaceCommand& pace, Duration, OrderCallback callback)
      -> void override {
    this->called.push_back(pace.worker);
    this->open.emplace_back(
        [done = std::move(callback)] { done({OrderVerdict::kDone}); });
  }

  auto Poll(const PollCommand& poll, Duration, ReportCallback callback)
      -> void override {
    this->called.push_back(poll.worker);
    this->open.emplace_back([done = std::move(callback)] {
      WorkerReport report;
      report.clock = std::chrono::milliseconds(8);
      done(report);
    });
  }

  auto AnswerAll() -> void {
    for (const auto& answer : std::exchange(this->open, {})) {
      answer();
    }
  }

  /// Worker of each order that was sent through this client.
  std::vector<WorkerId> called;
  /// Answers to the orders that are still open.
  std::vector<std::function<void()>> open;
  /// Time for which each start order blocks the main loop.
  std::chrono::milliseconds start_cost{0};
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_RELAY_FAKE_WORKERS_H_
