#include "fireflythread/jobs/queue_homes.h"

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

auto Encode(const QueueHome& home) -> std::string {
  Json former = Json::object();
  for (const auto& [service, left_at] : home.former) {
    former[service.value] = ToMilliseconds(left_at);
  }
  return Json{{"service", home.service.value}, {"former", std::move(former)}}
      .dump();
}

auto Decode(const Row& row) -> std::optional<QueueHome> {
  try {
    const Json json = Json::parse(row.value);
    QueueHome home;
    home.service = ServiceName(json.at("service").get<std::string>());
    home.version = row.version;
    for (const auto& [service, left_ms] : json.at("former").items()) {
      home.former[ServiceName(service)] =
          WallTime(milliseconds(left_ms.get<std::int64_t>()));
    }
    return home;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

/// A clock that was set back makes a time look like the future; it counts as
/// recent.
auto IsRecent(WallTime left_at, WallTime now) -> bool {
  return now - left_at < kRepeatWindow;
}

/// The row that follows when a queue's jobs go to `service` from now on.
auto NextHome(const QueueHome& known, const ServiceName& service, WallTime now)
    -> QueueHome {
  QueueHome next;
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

auto TakeQueueHomes(QueueHomes& homes, const std::vector<Row>& rows) -> void {
  homes.rows.clear();
  for (const Row& row : rows) {
    if (auto home = Decode(row)) {
      homes.rows.emplace(row.key, *std::move(home));
    }
  }
  homes.current = true;
}

auto MakeQueueHomes(const QueueHomes& homes,
                    const Configuration& configuration,
                    WallTime now) -> Transaction {
  Transaction transaction;
  for (const Queue& queue : configuration.queues) {
    const auto known = homes.rows.find(queue.name);
    const bool absent = known == homes.rows.end();
    if (!absent && known->second.service == queue.service) {
      continue;
    }
    if (transaction.writes.size() >= kRowsPerTransaction) {
      break;
    }
    const QueueHome next = absent ? QueueHome{queue.service, {}, 0}
                                  : NextHome(known->second, queue.service, now);
    transaction.conditions.push_back({std::string(kQueueHomeTable),
                                      queue.name.value,
                                      absent ? 0 : known->second.version});
    transaction.writes.push_back(
        {std::string(kQueueHomeTable), queue.name.value, Encode(next)});
  }
  return transaction;
}

auto FormerHomes(const QueueHomes& homes, const Queue& queue, WallTime now)
    -> std::optional<std::vector<ServiceName>> {
  const auto known = homes.rows.find(queue.name);
  if (!homes.current || known == homes.rows.end()) {
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
