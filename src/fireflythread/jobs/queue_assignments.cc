#include "fireflythread/jobs/queue_assignments.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/queue.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// A transaction holds at most 100 entries; each row takes two.
constexpr std::size_t kRowsPerTransaction = 45;

auto ToMilliseconds(WallTime time) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

auto Encode(const QueueAssignment& assignment) -> std::string {
  Json former = Json::object();
  for (const auto& [service, left_at] : assignment.former) {
    former[service.value] = ToMilliseconds(left_at);
  }
  return Json{{"service", assignment.service.value},
              {"former", std::move(former)}}
      .dump();
}

auto Decode(const Row& row) -> std::optional<QueueAssignment> {
  try {
    const Json json = Json::parse(row.value);
    QueueAssignment assignment;
    assignment.service = ServiceName(json.at("service").get<std::string>());
    assignment.version = row.version;
    for (const auto& [service, left_ms] : json.at("former").items()) {
      assignment.former[ServiceName(service)] =
          WallTime(milliseconds(left_ms.get<std::int64_t>()));
    }
    return assignment;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

/// A time in the future, seen after a clock was set back, counts as recent.
auto IsRecent(WallTime left_at, WallTime now) -> bool {
  return now - left_at < kRepeatWindow;
}

/// Returns the row of a queue whose jobs are assigned to `service` from now on.
auto NextAssignment(const QueueAssignment& known,
                    const ServiceName& service,
                    WallTime now) -> QueueAssignment {
  QueueAssignment next;
  next.service = service;
  for (const auto& [former, left_at] : known.former) {
    if (former != service && IsRecent(left_at, now)) {
      next.former[former] = left_at;
    }
  }
  next.former[known.service] = now;
  return next;
}

}  // namespace

auto ApplyQueueAssignments(QueueAssignments& assignments,
                           const std::vector<Row>& rows) -> void {
  assignments.rows.clear();
  for (const Row& row : rows) {
    if (auto assignment = Decode(row)) {
      assignments.rows.emplace(row.key, *std::move(assignment));
    }
  }
  assignments.current = true;
}

auto MakeQueueAssignments(const QueueAssignments& assignments,
                          const Configuration& configuration,
                          WallTime now) -> Transaction {
  Transaction transaction;
  for (const Queue& queue : configuration.queues) {
    const auto known = assignments.rows.find(queue.name);
    const bool absent = known == assignments.rows.end();
    if (!absent && known->second.service == queue.service) {
      continue;
    }
    if (transaction.writes.size() >= kRowsPerTransaction) {
      break;
    }
    const QueueAssignment next =
        absent ? QueueAssignment{queue.service, {}, 0}
               : NextAssignment(known->second, queue.service, now);
    transaction.conditions.push_back({std::string(kQueueAssignmentTable),
                                      queue.name.value,
                                      absent ? 0 : known->second.version});
    transaction.writes.push_back(
        {std::string(kQueueAssignmentTable), queue.name.value, Encode(next)});
  }
  return transaction;
}

auto FormerAssignments(const QueueAssignments& assignments,
                       const Queue& queue,
                       WallTime now)
    -> std::optional<std::vector<ServiceName>> {
  const auto known = assignments.rows.find(queue.name);
  if (!assignments.current || known == assignments.rows.end()) {
    return std::nullopt;
  }
  std::vector<ServiceName> services;
  if (known->second.service != queue.service) {
    services.push_back(known->second.service);
  }
  for (const auto& [former, left_at] : known->second.former) {
    if (former != queue.service && IsRecent(left_at, now)) {
      services.push_back(former);
    }
  }
  return services;
}

}  // namespace fireflythread
