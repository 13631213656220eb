#include "fireflythread/jobs/job_tables.h"

namespace fireflythread {
namespace {

constexpr std::string_view kJobSuffix = "/job";
constexpr std::string_view kCancelSuffix = "/cancel";

}  // namespace

auto JobTable(const ShardName& shard) -> std::string {
  return "jobs." + shard.value;
}

auto JobKey(const JobId& job) -> std::string {
  return job.value + std::string(kJobSuffix);
}

auto CancelKey(const JobId& job) -> std::string {
  return job.value + std::string(kCancelSuffix);
}

auto ParseJobTableKey(std::string_view key) -> std::optional<JobTableKey> {
  for (const std::string_view suffix : {kJobSuffix, kCancelSuffix}) {
    if (key.size() > suffix.size() && key.ends_with(suffix)) {
      key.remove_suffix(suffix.size());
      return JobTableKey{JobId(std::string(key)), suffix == kCancelSuffix};
    }
  }
  return std::nullopt;
}

}  // namespace fireflythread
