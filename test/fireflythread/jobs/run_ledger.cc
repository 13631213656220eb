#include "test/fireflythread/jobs/run_ledger.h"

#include <algorithm>
#include <chrono>

namespace fireflythread::test {
namespace {

auto Seconds(TimePoint time) -> std::string {
  return std::to_string(
      std::chrono::duration<double>(time.time_since_epoch()).count());
}

}  // namespace

auto RunLedger::AddBreach(const Record& later,
                          const Record& earlier,
                          TimePoint now) -> void {
  this->breaches.push_back(
      Seconds(now) + ": " + FormatTaskName(later.task) + " run " +
      std::to_string(later.run) + " on " + later.worker + " from " +
      Seconds(later.began) + ", run " + std::to_string(earlier.run) + " on " +
      earlier.worker + " from " + Seconds(earlier.began) +
      (earlier.running ? " runs" : " is done, " + Seconds(earlier.ended)));
}

auto RunLedger::Begin(const TaskName& task,
                      int run,
                      const std::string& worker,
                      TimePoint now) -> std::size_t {
  Record record;
  record.task = task;
  record.run = run;
  record.worker = worker;
  record.began = now;
  std::vector<std::size_t>& own = this->by_task[task];
  for (const std::size_t position : own) {
    const Record& other = this->records[position];
    if (other.running || (other.done && other.acknowledged)) {
      this->AddBreach(record, other, now);
    }
  }
  own.push_back(this->records.size());
  this->records.push_back(record);
  return this->records.size() - 1;
}

auto RunLedger::End(std::size_t record, bool done, TimePoint now) -> void {
  this->records[record].running = false;
  this->records[record].done = done;
  this->records[record].ended = now;
}

auto RunLedger::Expire(std::size_t record) -> void {
  this->records[record].expired = true;
}

auto RunLedger::Acknowledge(std::size_t record, TimePoint now) -> void {
  Record& earlier = this->records[record];
  if (earlier.expired || !earlier.done) {
    return;
  }
  earlier.acknowledged = true;
  for (const std::size_t position : this->by_task[earlier.task]) {
    const Record& later = this->records[position];
    if (later.began >= earlier.ended && position > record) {
      this->AddBreach(later, earlier, now);
    }
  }
}

auto RunLedger::IsDone(const TaskName& task) const -> bool {
  const auto own = this->by_task.find(task);
  return own != this->by_task.end() &&
         std::any_of(own->second.begin(), own->second.end(),
                     [this](std::size_t each) -> bool {
                       return this->records[each].done;
                     });
}

auto RunLedger::IsRunning(const TaskName& task) const -> bool {
  const auto own = this->by_task.find(task);
  return own != this->by_task.end() &&
         std::any_of(own->second.begin(), own->second.end(),
                     [this](std::size_t each) -> bool {
                       return this->records[each].running;
                     });
}

}  // namespace fireflythread::test
