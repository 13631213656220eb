#include "standin/backend/ledger.h"

#include <algorithm>
#include <utility>

#include "fireflythread/base/io_clock.h"

namespace fireflythread::standin {
namespace {

using Json = nlohmann::json;

auto StateName(AttemptState state) -> const char* {
  switch (state) {
    case AttemptState::kHeld:
      return "held";
    case AttemptState::kRefused:
      return "refused";
    case AttemptState::kFailed:
      return "failed";
    case AttemptState::kStarted:
      return "started";
    case AttemptState::kFinished:
      return "finished";
    case AttemptState::kAborted:
      return "aborted";
  }
  return "";
}

}  // namespace

auto Ledger::Add(Attempt attempt) -> std::size_t {
  attempt.arrived = ReadBootClock();
  const AttemptState state = std::exchange(attempt.state, AttemptState::kHeld);
  ++this->states[AttemptState::kHeld];
  this->attempts.push_back(std::move(attempt));
  const std::size_t index = this->attempts.size() - 1;
  if (state != AttemptState::kHeld) {
    this->Set(index, state);
  }
  return index;
}

auto Ledger::Set(std::size_t index, AttemptState state) -> void {
  Attempt& attempt = this->attempts[index];
  --this->states[attempt.state];
  ++this->states[state];
  attempt.state = state;
  const bool runs =
      state == AttemptState::kStarted || state == AttemptState::kFailed;
  if (runs && !attempt.key.empty() && ++this->runs_by_key[attempt.key] > 1) {
    ++this->duplicates;
  }
  if (state != AttemptState::kStarted) {
    attempt.ended = ReadBootClock();
  }
}

auto Ledger::ToJson(std::size_t first, std::size_t limit) const -> Json {
  Json list = Json::array();
  const std::size_t end = this->attempts.size();
  for (std::size_t i = first; i < end && i - first < limit; ++i) {
    const Attempt& attempt = this->attempts[i];
    list.push_back({{"index", i},
                    {"request", attempt.request},
                    {"caller_request", attempt.caller_request},
                    {"key", attempt.key},
                    {"entry", attempt.entry},
                    {"pool", attempt.pool},
                    {"vm", attempt.vm},
                    {"method", attempt.method},
                    {"path", attempt.path},
                    {"state", StateName(attempt.state)},
                    {"arrived_ns", attempt.arrived.time_since_epoch().count()},
                    {"ended_ns", attempt.ended.time_since_epoch().count()}});
  }
  return {{"total", end}, {"attempts", std::move(list)}};
}

auto Ledger::Counters() const -> Json {
  Json counters = {{"arrived", this->attempts.size()},
                   {"duplicates_by_key", this->duplicates}};
  for (const AttemptState state :
       {AttemptState::kHeld, AttemptState::kRefused, AttemptState::kFailed,
        AttemptState::kStarted, AttemptState::kFinished,
        AttemptState::kAborted}) {
    const auto count = this->states.find(state);
    counters[StateName(state)] =
        count == this->states.end() ? 0 : count->second;
  }
  return counters;
}

}  // namespace fireflythread::standin
