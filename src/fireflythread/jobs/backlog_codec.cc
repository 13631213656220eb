#include "fireflythread/jobs/backlog_codec.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <utility>

namespace fireflythread {
namespace {

using Json = nlohmann::json;

/// Upper limit of the organisations at their caps in a row, which holds 65,536
/// bytes at most. Those beyond it are not refused for their caps.
constexpr std::size_t kMaxCapped = 100;

/// Upper limit of the work in a row; its sums stay in the range of an integer.
constexpr WorkTime kMaxWork = std::chrono::hours(24);

auto ToMilliseconds(WorkTime work) -> std::int64_t {
  return std::chrono::round<std::chrono::milliseconds>(std::min(work, kMaxWork))
      .count();
}

auto ToJson(const ClassBacklog& backlog) -> Json {
  Json json = Json::array({ToMilliseconds(backlog.late)});
  for (const WorkTime work : backlog.in_time) {
    json.push_back(ToMilliseconds(work));
  }
  return json;
}

auto ClassFromJson(const Json& json) -> ClassBacklog {
  ClassBacklog backlog;
  backlog.late = WorkTime(json.at(0).get<double>());
  for (std::size_t group = 0; group < kDeadlineGroups; ++group) {
    backlog.in_time.at(group) = WorkTime(json.at(group + 1).get<double>());
  }
  return backlog;
}

/// Rows of [priority, within its share, over it].
auto ToJson(const PriorityBacklogs& backlogs) -> Json {
  Json json = Json::array();
  for (const auto& [priority, backlog] : backlogs) {
    json.push_back(Json::array(
        {priority, ToJson(backlog.within_share), ToJson(backlog.over_share)}));
  }
  return json;
}

auto PrioritiesFromJson(const Json& json) -> PriorityBacklogs {
  PriorityBacklogs backlogs;
  for (const Json& each : json) {
    backlogs[each.at(0).get<int>()] = {ClassFromJson(each.at(1)),
                                       ClassFromJson(each.at(2))};
  }
  return backlogs;
}

}  // namespace

auto EncodeBacklog(const BacklogRow& row) -> std::string {
  Json over_share = Json::object();
  for (const auto& [name, wait] : row.backlog.over_share) {
    over_share[name.value] = ToMilliseconds(wait);
  }
  Json capped = Json::object();
  for (const auto& [name, backlogs] : row.backlog.capped) {
    if (capped.size() < kMaxCapped) {
      capped[name.value] = ToJson(backlogs);
    }
  }
  return Json{{"fence", row.fence},
              {"pool", ToJson(row.backlog.pool)},
              {"over_share", std::move(over_share)},
              {"capped", std::move(capped)}}
      .dump();
}

auto DecodeBacklog(std::string_view text) -> std::optional<BacklogRow> {
  try {
    const Json json = Json::parse(text);
    BacklogRow row;
    row.fence = json.at("fence").get<std::uint64_t>();
    row.backlog.pool = PrioritiesFromJson(json.at("pool"));
    for (const auto& [name, wait] : json.at("over_share").items()) {
      row.backlog.over_share[OrganisationName(name)] =
          WorkTime(wait.get<double>());
    }
    for (const auto& [name, backlogs] : json.at("capped").items()) {
      row.backlog.capped[OrganisationName(name)] = PrioritiesFromJson(backlogs);
    }
    return row;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace fireflythread
