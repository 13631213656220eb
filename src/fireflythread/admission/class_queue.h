#ifndef FIREFLYTHREAD_ADMISSION_CLASS_QUEUE_H_
#define FIREFLYTHREAD_ADMISSION_CLASS_QUEUE_H_

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "fireflythread/admission/queued_request.h"

namespace fireflythread {

/// Queues the requests of one class: deficit round robin between teams,
/// earliest deadline first within a team.
class ClassQueue {
 public:
  using WeightOf = std::function<double(const TeamName&)>;

  auto Push(const QueuedRequest& request) -> void;

  /// Removes and returns the next request; no value when the queue is empty.
  auto Pop(const WeightOf& weight_of) -> std::optional<QueuedRequest>;

  /// Removes a request; returns false if it is not queued. The request's team
  /// and deadline must be those that it was pushed with.
  auto Remove(const QueuedRequest& request) -> bool;

  /// Removes and returns the requests that are no longer expected to be
  /// answered within their deadline.
  auto TakeDeadlineUnreachable(TimePoint now) -> std::vector<QueuedRequest>;

  /// Removes and returns the request with the latest deadline of the team with
  /// the most queued requests; no value when the queue is empty.
  auto PopLast() -> std::optional<QueuedRequest>;

  /// Estimates how many queued requests would be served before this one.
  [[nodiscard]] auto CountAhead(const QueuedRequest& request,
                                const WeightOf& weight_of) const -> double;

  [[nodiscard]] auto Size() const -> std::size_t { return this->size; }
  /// Arrival time of the request that has waited longest; no value when the
  /// queue is empty.
  [[nodiscard]] auto OldestArrival() const -> std::optional<TimePoint>;

 private:
  struct TeamQueue {
    std::multimap<TimePoint, QueuedRequest> by_deadline;
    double deficit = 0;
  };
  using Teams = std::map<TeamName, TeamQueue>;

  auto RemoveTeam(Teams::iterator team) -> void;
  auto Extract(Teams::iterator team,
               std::multimap<TimePoint, QueuedRequest>::iterator request)
      -> QueuedRequest;

  Teams teams;
  /// Teams with queued requests, in round-robin order; the front is served
  /// next.
  std::list<TeamName> round_robin;
  std::multimap<TimePoint, std::uint64_t> arrivals;
  std::size_t size = 0;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ADMISSION_CLASS_QUEUE_H_
