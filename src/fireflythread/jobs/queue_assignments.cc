#include "fireflythread/jobs/queue_assignments.h"

#include <algorithm>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>

#include "fireflythread/jobs/configuration.h"
#include "fireflythread/jobs/queue.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

/// A transaction holds at most 100 entries; each queue's row takes two.
constexpr std::size_t kMaxRows = 45;

auto ToMilliseconds(WallTime time) -> std::int64_t {
  return std::chrono::duration_cast<milliseconds>(time.time_since_epoch())
      .count();
}

auto FromMilliseconds(const Json& json) -> WallTime {
  return WallTime(milliseconds(json.get<std::int64_t>()));
}

auto Encode(const QueueId& queue, const QueueAssignment& assignment)
    -> std::string {
  // Earlier versions of the program read the object `former` only.
  Json former = Json::object();
  Json ended = Json::array();
  for (const FormerAssignment& each : assignment.former) {
    const std::int64_t left_ms = ToMilliseconds(each.left_at);
    ended.push_back(Json::array({each.service.value, each.version, left_ms}));
    if (each.service != assignment.service) {
      former[each.service.value] = left_ms;
    }
  }
  Json earlier = Json::array();
  for (const ServiceName& service : assignment.earlier_services) {
    earlier.push_back(service.value);
  }
  return Json{{"queue", queue.value},
              {"service", assignment.service.value},
              {"former", std::move(former)},
              {"ended", std::move(ended)},
              {"earlier", std::move(earlier)}}
      .dump();
}

auto DecodeFormer(const Json& json) -> std::vector<FormerAssignment> {
  std::vector<FormerAssignment> former;
  if (const auto ended = json.find("ended"); ended != json.end()) {
    for (const Json& each : *ended) {
      former.push_back({ServiceName(each.at(0).get<std::string>()),
                        each.at(1).get<std::uint64_t>(),
                        FromMilliseconds(each.at(2))});
    }
    return former;
  }
  for (const auto& [service, left_ms] : json.at("former").items()) {
    former.push_back({ServiceName(service), 0, FromMilliseconds(left_ms)});
  }
  return former;
}

auto DecodeEarlier(const Json& json,
                   const std::vector<FormerAssignment>& former)
    -> std::set<ServiceName> {
  std::set<ServiceName> services;
  for (const FormerAssignment& each : former) {
    services.insert(each.service);
  }
  if (const auto earlier = json.find("earlier"); earlier != json.end()) {
    for (const Json& service : *earlier) {
      services.insert(ServiceName(service.get<std::string>()));
    }
  }
  return services;
}

/// Adds the assignment in a row; ignores a row that can't be read.
auto AddAssignment(const Row& row, QueueAssignments& assignments) -> void {
  try {
    const Json json = Json::parse(row.value);
    QueueAssignment assignment;
    assignment.service = ServiceName(json.at("service").get<std::string>());
    assignment.version = row.version;
    assignment.former = DecodeFormer(json);
    assignment.earlier_services = DecodeEarlier(json, assignment.former);
    if (json.contains("queue")) {
      assignments.rows.emplace(row.key, std::move(assignment));
    } else {
      assignments.rows_by_name.emplace(row.key, std::move(assignment));
    }
  } catch (const Json::exception&) {
    return;
  }
}

/// A time in the future, seen after a clock was set back, counts as recent.
auto IsRecent(const FormerAssignment& former, WallTime now) -> bool {
  return now - former.left_at < kRepeatWindow;
}

/// What one change of assignments writes.
struct AssignmentChange {
  /// Rows which say that an assignment has ended.
  std::vector<Write> endings;
  /// The queues' rows, with the conditions on their versions.
  std::vector<Condition> conditions;
  std::vector<Write> rows;
  /// Removals of endings that are not recent.
  std::vector<Write> removals;
};

/// Writes or removes the rows which say that an assignment has ended.
auto AddEndings(const QueueId& queue,
                const ServiceName& service,
                std::uint64_t version,
                const std::optional<std::string>& value,
                const ShardsOfService& shards_of,
                std::vector<Write>& writes) -> void {
  for (const ShardName& shard : shards_of(service)) {
    writes.push_back({std::string(kQueueAssignmentTable),
                      EndedAssignmentKey(queue, version), value, shard.value});
  }
}

/// Ends the known assignment of a queue and returns the next one.
auto EndAssignment(const Queue& queue,
                   const QueueAssignment& known,
                   const ShardsOfService& shards_of,
                   WallTime now,
                   AssignmentChange& change) -> QueueAssignment {
  const QueueId id = IdOf(queue);
  QueueAssignment next;
  next.service = queue.service;
  next.earlier_services = known.earlier_services;
  next.earlier_services.insert(known.service);
  for (const FormerAssignment& former : known.former) {
    if (IsRecent(former, now)) {
      next.former.push_back(former);
    } else if (former.version != 0) {
      AddEndings(id, former.service, former.version, std::nullopt, shards_of,
                 change.removals);
    }
  }
  next.former.push_back({known.service, known.version, now});
  AddEndings(id, known.service, known.version, "{}", shards_of, change.endings);
  return next;
}

/// Continues an assignment of an earlier version of the program, whose jobs may
/// be this queue's.
auto ContinueNamed(const QueueAssignment& known,
                   WallTime now,
                   QueueAssignment& first) -> void {
  first.earlier_services.insert(known.earlier_services.begin(),
                                known.earlier_services.end());
  first.earlier_services.insert(known.service);
  for (const FormerAssignment& former : known.former) {
    if (IsRecent(former, now)) {
      first.former.push_back({former.service, 0, former.left_at});
    }
  }
  if (known.service != first.service) {
    first.former.push_back({known.service, 0, now});
  }
}

auto IsConfigured(const Configuration& configuration, const QueueName& name)
    -> bool {
  return std::any_of(
      configuration.queues.begin(), configuration.queues.end(),
      [&](const Queue& queue) -> bool { return queue.name == name; });
}

/// Returns the first assignment under a queue's identity. A row under a name
/// that is not configured may be of any queue that has been renamed since.
auto FirstAssignment(const QueueAssignments& assignments,
                     const Configuration& configuration,
                     const Queue& queue,
                     WallTime now) -> QueueAssignment {
  QueueAssignment first;
  first.service = queue.service;
  const auto named = assignments.rows_by_name.find(queue.name);
  if (named != assignments.rows_by_name.end()) {
    ContinueNamed(named->second, now, first);
    return first;
  }
  for (const auto& [name, assignment] : assignments.rows_by_name) {
    if (!IsConfigured(configuration, name)) {
      ContinueNamed(assignment, now, first);
    }
  }
  return first;
}

auto AddRow(const QueueId& queue,
            std::uint64_t version,
            const QueueAssignment& next,
            AssignmentChange& change) -> void {
  change.conditions.push_back(
      {std::string(kQueueAssignmentTable), queue.value, version});
  change.rows.push_back(
      {std::string(kQueueAssignmentTable), queue.value, Encode(queue, next)});
}

/// Appends one transaction for each part, because one over several parts delays
/// all of them.
auto AppendByPart(const std::vector<Write>& writes,
                  std::vector<Transaction>& transactions) -> void {
  std::map<std::string, Transaction> parts;
  for (const Write& write : writes) {
    parts[write.part].writes.push_back(write);
  }
  for (auto& [part, transaction] : parts) {
    transactions.push_back(std::move(transaction));
  }
}

/// An assignment must have ended in all shards before the next one begins.
auto MakeTransactions(const AssignmentChange& change)
    -> std::vector<Transaction> {
  std::vector<Transaction> transactions;
  if (change.rows.empty()) {
    return transactions;
  }
  AppendByPart(change.endings, transactions);
  Transaction rows;
  rows.conditions = change.conditions;
  rows.writes = change.rows;
  transactions.push_back(std::move(rows));
  AppendByPart(change.removals, transactions);
  return transactions;
}

}  // namespace

auto EndedAssignmentKey(const QueueId& queue, std::uint64_t version)
    -> std::string {
  return queue.value + "/" + std::to_string(version);
}

auto ApplyQueueAssignments(QueueAssignments& assignments,
                           const std::vector<Row>& rows) -> void {
  assignments.rows.clear();
  assignments.rows_by_name.clear();
  for (const Row& row : rows) {
    AddAssignment(row, assignments);
  }
}

auto MakeQueueAssignments(const QueueAssignments& assignments,
                          const Configuration& configuration,
                          const ShardsOfService& shards_of,
                          WallTime now) -> std::vector<Transaction> {
  AssignmentChange change;
  std::set<QueueId> seen;
  for (const Queue& queue : configuration.queues) {
    const QueueId id = IdOf(queue);
    if (change.rows.size() >= kMaxRows) {
      break;
    }
    // Callers reach the first of several queues with the same address.
    if (!seen.insert(id).second) {
      continue;
    }
    const auto known = assignments.rows.find(id);
    if (known == assignments.rows.end()) {
      AddRow(id, 0, FirstAssignment(assignments, configuration, queue, now),
             change);
      continue;
    }
    const QueueAssignment& assignment = known->second;
    const bool ended = assignments.found_ended.contains(
        std::make_pair(id, assignment.version));
    if (assignment.service != queue.service || ended) {
      const QueueAssignment next =
          EndAssignment(queue, assignment, shards_of, now, change);
      AddRow(id, assignment.version, next, change);
    }
  }
  return MakeTransactions(change);
}

auto FormerServices(const QueueAssignment& assignment, WallTime now)
    -> std::vector<ServiceName> {
  std::set<ServiceName> services;
  for (const FormerAssignment& former : assignment.former) {
    if (former.service != assignment.service && IsRecent(former, now)) {
      services.insert(former.service);
    }
  }
  return {services.begin(), services.end()};
}

auto ServicesWithJobs(const Queue& queue,
                      const QueueAssignment* assignment,
                      const Configuration& configuration)
    -> std::vector<ServiceName> {
  if (assignment == nullptr) {
    return {queue.service};
  }
  std::vector<ServiceName> services{assignment->service};
  for (const PoolService& service : configuration.services) {
    if (!service.spare && service.name != assignment->service &&
        assignment->earlier_services.contains(service.name)) {
      services.push_back(service.name);
    }
  }
  return services;
}

}  // namespace fireflythread
