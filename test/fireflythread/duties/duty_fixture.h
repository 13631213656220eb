#ifndef TEST_FIREFLYTHREAD_DUTIES_DUTY_FIXTURE_H_
#define TEST_FIREFLYTHREAD_DUTIES_DUTY_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "fireflythread/duties/duties.h"

namespace fireflythread::test {

/// Has pools "a" and "b" of four VMs each and a spare pool of two. VMs are
/// named "a0", "a1" and so on, and their workers "w-a0" and so on.
class DutyFixture {
 public:
  DutyFixture() {
    this->state.owned_since = this->now;
    this->state.spare_pool = ServiceName("spare");
    this->state.pools = {ServiceName("a"), ServiceName("b")};
    for (int number = 0; number < 4; ++number) {
      this->Add("a", number);
      this->Add("b", number);
    }
    this->Add("spare", 0);
    this->Add("spare", 1);
    ApplyMachineList(this->state, this->machines, this->now);
    this->SetLoad("a", 0, 0);
    this->SetLoad("b", 0, 0);
  }

  auto Add(const std::string& pool, int number) -> void {
    MachineView machine;
    machine.vm = VmId(pool + std::to_string(number));
    machine.pool = ServiceName(pool);
    machine.capacity = {8000, 16000, 0};
    machine.worker = WorkerId("w-" + machine.vm.value);
    this->machines.push_back(machine);
  }

  /// Sets the usage of each worker of the pool and the demand of its waiting
  /// tasks, both in millicores.
  auto SetLoad(const std::string& pool, std::int64_t used, std::int64_t waiting)
      -> void {
    PoolLoad& load = this->state.loads[ServiceName(pool)];
    load.waiting_millicores = waiting;
    for (int number = 0; number < 4; ++number) {
      load.workers[WorkerId("w-" + pool + std::to_string(number))] = {used, 0};
    }
  }

  /// Drains the duty's worker, sends the order and applies its answer.
  auto Complete(const VmId& vm, DutyVerdict verdict) -> void {
    ApplyDrained(this->state, {this->state.duties.at(vm).worker}, this->now);
    (void)this->Send();
    ApplyOrderReply(this->state, vm, verdict, this->now);
  }

  /// Records the orders that are due and returns those that are sent.
  auto Send() -> std::vector<Duty> {
    return ApplyRecordResult(this->state, NextOrders(this->state, this->now),
                             true, this->now, this->now);
  }

  DutyState state;
  std::vector<MachineView> machines;
  TimePoint now{std::chrono::hours(1)};
};

}  // namespace fireflythread::test

#endif  // TEST_FIREFLYTHREAD_DUTIES_DUTY_FIXTURE_H_
