#include <algorithm>
#include <utility>

#include "fireflythread/jobs/shard_orders.h"
#include "fireflythread/jobs/shard_workers.h"
#include "fireflythread/jobs/worker_lease.h"
#include "test/fireflythread/jobs/run_simulation.h"

namespace fireflythread::test {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kOrderTimeout{1300};
constexpr milliseconds kPollSlack{1100};
constexpr int kMaxLateMs = 4000;

}  // namespace

template <typename Result>
auto RunSimulation::Send(const OwnerRef& owner,
                         const WorkerId& worker,
                         Milliseconds timeout,
                         Milliseconds wait,
                         std::function<Result()> perform,
                         std::function<void(std::optional<Result>)> answer)
    -> void {
  const auto finished = std::make_shared<bool>(false);
  const auto finish = [this, owner, finished,
                       answer](std::optional<Result> result) -> void {
    this->Wake(owner, [finished, answer, result] {
      if (!std::exchange(*finished, true)) {
        answer(result);
      }
    });
  };
  this->After(timeout, [finish] { finish(std::nullopt); });
  const int incarnation = this->FindWorker(worker).Incarnation();
  const bool cut = this->now < this->worker_cut_until[worker] ||
                   this->now < owner->cut_from_worker_until[worker];
  const bool lost = cut || this->Chance(this->order_loss_percent);
  const bool late = !cut && this->Chance(this->late_percent);
  if (lost && !late && this->Chance(60)) {
    return;
  }
  const Milliseconds delay = late  ? this->DrawTime(20, kMaxLateMs)
                             : cut ? Milliseconds(-1)
                                   : this->DrawTime(1, 40);
  if (delay < Milliseconds(0)) {
    return;
  }
  this->After(delay,
              [this, worker, incarnation, perform, finish, wait, lost, late] {
                // An order that reached one incarnation is not carried out by
                // the next.
                if (this->FindWorker(worker).Incarnation() != incarnation) {
                  return;
                }
                const Result result = perform();
                if (lost || late) {
                  return;
                }
                this->After(this->DrawTime(1, 40) + wait,
                            [result, finish] { finish(result); });
              });
}

auto RunSimulation::SendStart(const OwnerRef& owner, const StartCommand& start)
    -> void {
  this->Send<OrderReply>(
      owner, start.worker, kOrderTimeout, Milliseconds(0),
      [this, start]() -> OrderReply {
        return this->FindWorker(start.worker).Start(start, this->now);
      },
      [this, owner, start](std::optional<OrderReply> reply) -> void {
        ApplyStartReply(owner->state, start, reply.value_or(OrderReply{}),
                        this->now);
      });
}

auto RunSimulation::SendStop(const OwnerRef& owner, const StopCommand& stop)
    -> void {
  this->Send<OrderReply>(
      owner, stop.worker, kOrderTimeout, Milliseconds(0),
      [this, stop]() -> OrderReply {
        return this->FindWorker(stop.worker).Stop(stop, this->now);
      },
      [this, owner, stop](std::optional<OrderReply> reply) -> void {
        ApplyStopReply(owner->state, stop, reply.value_or(OrderReply{}),
                       this->now);
      });
}

auto RunSimulation::SendPoll(const OwnerRef& owner, const PollCommand& poll)
    -> void {
  using Report = std::variant<WorkerReport, OrderReply>;
  const TimePoint sent_at = this->now;
  // A long poll answers at the first completion; here at a random time.
  const Milliseconds wait =
      this->FindWorker(poll.worker).HasCompletions() || poll.wait.count() == 0
          ? Milliseconds(0)
          : this->DrawTime(0, static_cast<int>(poll.wait.count()));
  // The lists are read when the wait ends, the deadline is taken at once.
  this->Send<Report>(
      owner, poll.worker, poll.wait + kPollSlack, wait,
      [this, poll]() -> Report {
        return this->FindWorker(poll.worker).Poll(poll, this->now);
      },
      [this, owner, poll, sent_at](std::optional<Report> result) -> void {
        if (result && std::holds_alternative<WorkerReport>(*result)) {
          ApplyReport(owner->state, poll.worker,
                      std::get<WorkerReport>(*result), sent_at, this->now);
          return;
        }
        const OrderReply reply =
            result ? std::get<OrderReply>(*result) : OrderReply{};
        ApplyMissingReport(owner->state, poll, reply.verdict, this->now);
      });
}

auto RunSimulation::Trouble(TimePoint until) -> void {
  if (this->now >= until) {
    return;
  }
  this->BringAboutFault();
  this->After(this->DrawTime(100, 2500),
              [this, until] { this->Trouble(until); });
}

auto RunSimulation::BringAboutFault() -> void {
  const OwnerRef owner = this->owners.back();
  SimulatedWorker& worker =
      *this->workers[static_cast<std::size_t>(this->Draw(0, 4))];
  const WorkerId id(worker.Id());
  switch (this->Draw(0, 9)) {
    case 0:
      owner->paused_until = this->now + this->DrawTime(300, 9000);
      break;
    case 1:
      owner->cut_from_store_until = this->now + this->DrawTime(300, 9000);
      break;
    case 2:
      owner->dead = true;
      owner->released = this->Chance(50);
      owner->named = UnresponsiveWorkers(owner->state, this->now);
      break;
    case 3:
      this->After(this->DrawTime(0, 1500), [this] { this->ShareViews(); });
      worker.Restart(this->now);
      break;
    case 4:
      this->worker_cut_until[id] = this->now + this->DrawTime(300, 12000);
      if (this->Chance(50)) {
        this->After(Milliseconds(4500), [this, id] {
          if (this->now < this->worker_cut_until[id]) {
            this->unlisted.insert(id);
            this->ShareViews();
          }
        });
        this->At(this->worker_cut_until[id] + Milliseconds(500), [this, id] {
          this->unlisted.erase(id);
          this->ShareViews();
        });
      }
      break;
    case 5:
      owner->cut_from_worker_until[id] = this->now + this->DrawTime(300, 9000);
      break;
    case 6:
      this->store_down_until = this->now + this->DrawTime(300, 7000);
      break;
    case 7:
      this->store_loss_percent = this->Draw(0, 60);
      break;
    case 8:
      this->order_loss_percent = this->Draw(0, 30);
      break;
    default:
      this->late_percent = this->Draw(0, 30);
      break;
  }
}

auto RunSimulation::Heal() -> void {
  this->store_loss_percent = 0;
  this->order_loss_percent = 0;
  this->late_percent = 0;
  this->worker_cut_until.clear();
  this->store_down_until = this->now;
  this->unlisted.clear();
  for (const OwnerRef& owner : this->owners) {
    owner->cut_from_store_until = this->now;
    owner->cut_from_worker_until.clear();
  }
  this->ShareViews();
}

}  // namespace fireflythread::test
