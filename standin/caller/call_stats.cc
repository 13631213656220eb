#include "standin/caller/call_stats.h"

#include <algorithm>
#include <cmath>

namespace fireflythread::standin {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxListedIds = 20;
constexpr unsigned kFirstErrorStatus = 400;

auto Percentile(const std::vector<double>& sorted, double share) -> double {
  if (sorted.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(
      std::ceil(share * static_cast<double>(sorted.size())));
  return sorted[std::min(sorted.size() - 1, rank == 0 ? 0 : rank - 1)];
}

}  // namespace

auto CallStats::AddTo(Group& group, const CallRecord& record) -> void {
  ++group.sent;
  ++group.outcomes[OutcomeName(record.outcome)];
  if (record.outcome == CallOutcome::kAnswered) {
    group.latencies.push_back(record.latency_ms);
    const bool good = record.status < kFirstErrorStatus;
    const auto limit = static_cast<double>(record.plan.deadline.count());
    group.in_time += good && record.latency_ms <= limit ? 1 : 0;
  }
}

auto CallStats::Add(const CallRecord& record) -> void {
  ++this->statuses[std::to_string(record.status)];
  if (!record.plan.repeats.empty()) {
    ++this->repeats[OutcomeName(record.outcome)];
    return;
  }
  AddTo(this->all, record);
  AddTo(this->services[record.plan.service], record);
  AddTo(this->urgencies[record.plan.urgency], record);
  if (record.outcome == CallOutcome::kNotRun) {
    ++this->not_run[record.reason];
  } else if (record.outcome == CallOutcome::kUnknown) {
    ++this->unknown[record.reason];
  } else if (record.outcome == CallOutcome::kMismatched &&
             this->mismatched_ids.size() < kMaxListedIds) {
    this->mismatched_ids.push_back(record.plan.id);
  }
}

auto CallStats::GroupJson(const Group& group) -> Json {
  std::vector<double> sorted = group.latencies;
  std::sort(sorted.begin(), sorted.end());
  Json json = group.outcomes;
  json["sent"] = group.sent;
  json["in_time"] = group.in_time;
  json["latency_ms"] = {{"p50", Percentile(sorted, 0.5)},
                        {"p90", Percentile(sorted, 0.9)},
                        {"p99", Percentile(sorted, 0.99)},
                        {"p99.9", Percentile(sorted, 0.999)},
                        {"max", Percentile(sorted, 1)}};
  return json;
}

auto CallStats::Summary() const -> Json {
  Json summary = GroupJson(this->all);
  for (const auto& [name, group] : this->services) {
    summary["services"][name] = GroupJson(group);
  }
  for (const auto& [name, group] : this->urgencies) {
    summary["urgencies"][name] = GroupJson(group);
  }
  summary["not_run_by_reason"] = this->not_run;
  summary["unknown_by_reason"] = this->unknown;
  summary["statuses"] = this->statuses;
  summary["repeats"] = this->repeats;
  summary["mismatched_ids"] = this->mismatched_ids;
  return summary;
}

}  // namespace fireflythread::standin
