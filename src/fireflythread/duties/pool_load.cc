#include "fireflythread/duties/pool_load.h"

#include <nlohmann/json.hpp>

namespace fireflythread {

using Json = nlohmann::json;

auto EncodePoolLoad(const PoolLoad& load) -> std::string {
  Json workers = Json::object();
  for (const auto& [id, worker] : load.workers) {
    workers[id.value] = {worker.used_millicores, worker.long_running_tasks};
  }
  return Json{
      {"pool", load.pool.value},
      {"fence", load.fence},
      {"waiting_millicores", load.waiting_millicores},
      {"late_waiting_millicores", load.late_waiting_millicores},
      {"late_millicores", load.late_millicores},
      {"arriving_millicores", load.arriving_millicores},
      {"kept_workers", load.worker_need.kept},
      {"kept_workers_with_late_work", load.worker_need.kept_with_late_work},
      {"lacking_workers", load.worker_need.lacking},
      {"lacking_workers_with_late_work",
       load.worker_need.lacking_with_late_work},
      {"workers", std::move(workers)}}
      .dump();
}

auto DecodePoolLoad(std::string_view text) -> std::optional<PoolLoad> {
  try {
    const Json json = Json::parse(text);
    PoolLoad load;
    load.pool = ServiceName(json.at("pool").get<std::string>());
    load.fence = json.at("fence").get<std::uint64_t>();
    load.waiting_millicores = json.at("waiting_millicores").get<std::int64_t>();
    // Older versions don't write these.
    load.late_waiting_millicores =
        json.value("late_waiting_millicores", std::int64_t{0});
    WorkerNeed& need = load.worker_need;
    need.kept = json.value("kept_workers", 0);
    need.kept_with_late_work = json.value("kept_workers_with_late_work", 0);
    need.lacking = json.value("lacking_workers", 0);
    need.lacking_with_late_work =
        json.value("lacking_workers_with_late_work", 0);
    load.late_millicores = json.at("late_millicores").get<std::int64_t>();
    load.arriving_millicores =
        json.at("arriving_millicores").get<std::int64_t>();
    for (const auto& [id, worker] : json.at("workers").items()) {
      load.workers[WorkerId(id)] = {worker.at(0).get<std::int64_t>(),
                                    worker.at(1).get<int>()};
    }
    return load;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

auto SumLoads(const std::map<ShardName, PoolLoad>& shards,
              const ServiceName& pool) -> PoolLoad {
  PoolLoad sum;
  sum.pool = pool;
  for (const auto& [name, part] : shards) {
    if (part.pool != pool) {
      continue;
    }
    sum.waiting_millicores += part.waiting_millicores;
    sum.late_waiting_millicores += part.late_waiting_millicores;
    sum.late_millicores += part.late_millicores;
    sum.arriving_millicores += part.arriving_millicores;
    sum.worker_need.kept += part.worker_need.kept;
    sum.worker_need.kept_with_late_work += part.worker_need.kept_with_late_work;
    sum.workers.insert(part.workers.begin(), part.workers.end());
  }
  return sum;
}

}  // namespace fireflythread
