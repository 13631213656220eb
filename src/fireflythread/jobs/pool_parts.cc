#include "fireflythread/jobs/pool_parts.h"

#include <charconv>
#include <string>

#include "fireflythread/jobs/configuration.h"
#include "fireflythread/platform/row.h"
#include "fireflythread/platform/transaction.h"

namespace fireflythread {
namespace {

/// Upper limit of the counts that are accepted from the table.
constexpr int kMaxCount = 1000;

auto DecodeCount(const std::string& value) -> std::optional<int> {
  int count = 0;
  const char* end = value.data() + value.size();
  const auto [stop, error] = std::from_chars(value.data(), end, count);
  const bool valid =
      error == std::errc() && stop == end && count > 0 && count <= kMaxCount;
  return valid ? std::optional(count) : std::nullopt;
}

}  // namespace

auto ApplyPoolParts(PoolParts& parts, const std::vector<Row>& rows) -> void {
  for (const Row& row : rows) {
    if (const auto count = DecodeCount(row.value)) {
      parts.counts[ServiceName(row.key)] = *count;
    }
  }
}

auto PoolsWithoutParts(const PoolParts& parts,
                       const Configuration& configuration)
    -> std::vector<ServiceName> {
  std::vector<ServiceName> pools;
  for (const PoolService& service : configuration.services) {
    if (!service.spare && !parts.counts.contains(service.name)) {
      pools.push_back(service.name);
    }
  }
  return pools;
}

auto MakePoolParts(const std::vector<ServiceName>& pools,
                   const std::map<ServiceName, int>& sizes,
                   const std::set<ServiceName>& undivided) -> Transaction {
  Transaction transaction;
  for (const ServiceName& pool : pools) {
    const auto size = sizes.find(pool);
    const bool divided = size != sizes.end() && !undivided.contains(pool);
    const int count = divided ? PartCountFor(size->second) : 1;
    transaction.conditions.push_back(
        {std::string(kPoolPartsTable), pool.value, 0});
    transaction.writes.push_back(
        {std::string(kPoolPartsTable), pool.value, std::to_string(count)});
  }
  return transaction;
}

auto FindPartOfJob(const PoolParts& parts,
                   const ServiceName& pool,
                   const JobId& job) -> std::optional<PoolPart> {
  const auto count = parts.counts.find(pool);
  if (count == parts.counts.end()) {
    return std::nullopt;
  }
  return PartOfJob(pool, count->second, job);
}

auto PartsOf(const PoolParts& parts, const ServiceName& pool)
    -> std::vector<PoolPart> {
  std::vector<PoolPart> all;
  const auto count = parts.counts.find(pool);
  if (count == parts.counts.end()) {
    return all;
  }
  for (int index = 0; index < count->second; ++index) {
    all.push_back({pool, index, count->second});
  }
  return all;
}

}  // namespace fireflythread
