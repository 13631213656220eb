#include "fireflythread/admission/class_queue.h"

#include <algorithm>
#include <iterator>

namespace fireflythread {

auto ClassQueue::Push(const QueuedRequest& request) -> void {
  const auto [team, added] = this->teams.try_emplace(request.team);
  if (added) {
    this->round_robin.push_back(request.team);
  }
  team->second.by_deadline.emplace(request.deadline, request);
  this->arrivals.emplace(request.queued_at, request.id);
  ++this->size;
}

auto ClassQueue::Pop(const WeightOf& weight_of)
    -> std::optional<QueuedRequest> {
  if (this->round_robin.empty()) {
    return std::nullopt;
  }
  // Weights are divided by the largest one, so that at least one team reaches
  // a deficit of 1 within one round.
  double largest = 0;
  for (const TeamName& name : this->round_robin) {
    largest = std::max(largest, weight_of(name));
  }
  while (true) {
    const auto team = this->teams.find(this->round_robin.front());
    if (team->second.deficit >= 1) {
      team->second.deficit -= 1;
      return this->Extract(team, team->second.by_deadline.begin());
    }
    // A team gains its weight when it is first in the round; if that is not
    // enough for one request, it moves to the back.
    team->second.deficit += weight_of(team->first) / largest;
    if (team->second.deficit < 1) {
      this->round_robin.splice(this->round_robin.end(), this->round_robin,
                               this->round_robin.begin());
    }
  }
}

auto ClassQueue::Extract(
    Teams::iterator team,
    std::multimap<TimePoint, QueuedRequest>::iterator request)
    -> QueuedRequest {
  QueuedRequest taken = request->second;
  team->second.by_deadline.erase(request);
  const auto [first, last] = this->arrivals.equal_range(taken.queued_at);
  this->arrivals.erase(std::find_if(first, last, [&](const auto& entry) {
    return entry.second == taken.id;
  }));
  --this->size;
  if (team->second.by_deadline.empty()) {
    this->RemoveTeam(team);
  } else if (team->second.deficit < 1 &&
             this->round_robin.front() == team->first) {
    this->round_robin.splice(this->round_robin.end(), this->round_robin,
                             this->round_robin.begin());
  }
  return taken;
}

auto ClassQueue::RemoveTeam(Teams::iterator team) -> void {
  // The deficit is dropped too: a team without requests accumulates none.
  this->round_robin.remove(team->first);
  this->teams.erase(team);
}

auto ClassQueue::Remove(const QueuedRequest& request) -> bool {
  const auto team = this->teams.find(request.team);
  if (team == this->teams.end()) {
    return false;
  }
  const auto [first, last] =
      team->second.by_deadline.equal_range(request.deadline);
  const auto found = std::find_if(first, last, [&](const auto& entry) {
    return entry.second.id == request.id;
  });
  if (found == last) {
    return false;
  }
  this->Extract(team, found);
  return true;
}

auto ClassQueue::TakeDeadlineUnreachable(TimePoint now)
    -> std::vector<QueuedRequest> {
  std::vector<QueuedRequest> taken;
  for (auto team = this->teams.begin(); team != this->teams.end();) {
    const auto current = team++;
    auto& queue = current->second.by_deadline;
    std::size_t left = queue.size();
    while (left > 0 &&
           queue.begin()->first < now + queue.begin()->second.estimated_time) {
      --left;
      taken.push_back(this->Extract(current, queue.begin()));
    }
  }
  return taken;
}

auto ClassQueue::PopLast() -> std::optional<QueuedRequest> {
  const auto largest = std::max_element(
      this->teams.begin(), this->teams.end(),
      [](const auto& left, const auto& right) {
        return left.second.by_deadline.size() < right.second.by_deadline.size();
      });
  if (largest == this->teams.end()) {
    return std::nullopt;
  }
  return this->Extract(largest, std::prev(largest->second.by_deadline.end()));
}

auto ClassQueue::CountAhead(const QueuedRequest& request,
                            const WeightOf& weight_of) const -> double {
  double own = 0;
  const auto team = this->teams.find(request.team);
  if (team != this->teams.end()) {
    const auto& queue = team->second.by_deadline;
    // Most requests have about the same time to their deadline, so the position
    // of a new one is near the end of the queue; hence the search from the end.
    auto later = queue.end();
    std::size_t after = 0;
    while (later != queue.begin() &&
           std::prev(later)->first > request.deadline) {
      --later;
      ++after;
    }
    own = static_cast<double>(queue.size() - after);
  }
  double ahead = own;
  const double own_weight = weight_of(request.team);
  for (const auto& [name, queue] : this->teams) {
    if (name != request.team) {
      ahead += std::min(static_cast<double>(queue.by_deadline.size()),
                        (own + 1) * weight_of(name) / own_weight);
    }
  }
  return ahead;
}

auto ClassQueue::OldestArrival() const -> std::optional<TimePoint> {
  if (this->arrivals.empty()) {
    return std::nullopt;
  }
  return this->arrivals.begin()->first;
}

}  // namespace fireflythread
