#include <utility>
#include <vector>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/gateway/dispatcher.h"

namespace fireflythread {

auto Dispatcher::WaitForFirst(const Request& request, const HeldClaim& claim)
    -> void {
  if (!request->waiting) {
    if (this->waiting.size() >= this->state.settings.max_waiting_repeats) {
      this->Finish(request, InProgressResponse());
      return;
    }
    WaitingRepeat repeat;
    repeat.claim = claim;
    repeat.wait = BeginRepeatWait(ReadBootClock(), request->deadline);
    repeat.end_timer = this->state.timers.RunAt(
        repeat.wait.until,
        [this, request] { this->Finish(request, InProgressResponse()); });
    request->waiting = std::move(repeat);
    this->waiting.emplace(claim.row_key, request);
  }
  this->PlanRead(request);
}

auto Dispatcher::PlanRead(const Request& request) -> void {
  WaitingRepeat& repeat = *request->waiting;
  repeat.asking = false;
  repeat.read_timer =
      this->state.timers.RunAt(NextRepeatRead(repeat.wait, ReadBootClock()),
                               [this, request] { this->ReadAgain(request); });
}

auto Dispatcher::ReadAgain(const Request& request) -> void {
  WaitingRepeat& repeat = *request->waiting;
  repeat.read_timer.reset();
  if (request->exchange->IsCallerGone()) {
    this->Finish(request, InProgressResponse());
    return;
  }
  if (this->held_keys.contains(repeat.claim.row_key)) {
    // TellWaiting follows; until then only the caller is watched.
    this->PlanRead(request);
    return;
  }
  repeat.asking = true;
  this->records.ReadWhileWaiting(
      repeat.claim.row_key, repeat.claim.record,
      [this, request](const ClaimStep& step) {
        if (request->answered) {
          return;
        }
        if (const auto* taken = std::get_if<ClaimTaken>(&step)) {
          this->OnClaimTaken(request, request->waiting->claim, taken->record);
        } else if (std::holds_alternative<ClaimAvailable>(step)) {
          this->ClaimKey(request);
        } else {
          this->PlanRead(request);
        }
      });
}

auto Dispatcher::LeaveWait(RequestState& request) -> void {
  if (!request.waiting) {
    return;
  }
  this->state.timers.Cancel(request.waiting->end_timer);
  if (request.waiting->read_timer) {
    this->state.timers.Cancel(*request.waiting->read_timer);
  }
  const auto [begin, end] =
      this->waiting.equal_range(request.waiting->claim.row_key);
  for (auto it = begin; it != end; ++it) {
    if (it->second->id == request.id) {
      this->waiting.erase(it);
      break;
    }
  }
  request.waiting.reset();
}

auto Dispatcher::TellWaiting(const std::string& row_key) -> void {
  std::vector<Request> told;
  const auto [begin, end] = this->waiting.equal_range(row_key);
  for (auto it = begin; it != end; ++it) {
    told.push_back(it->second);
  }
  for (const Request& request : told) {
    if (!request->waiting || request->waiting->asking) {
      continue;
    }
    // The end is in the record store, if not yet in the table.
    WaitingRepeat& repeat = *request->waiting;
    if (repeat.read_timer) {
      this->state.timers.Cancel(*std::exchange(repeat.read_timer, {}));
    }
    repeat.wait.pause = kFirstRepeatPause;
    repeat.asking = true;
    this->ClaimKey(request);
  }
}

}  // namespace fireflythread
