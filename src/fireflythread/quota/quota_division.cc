#include "fireflythread/quota/quota_division.h"

#include <algorithm>
#include <cstdint>

#include "fireflythread/quota/resources.h"

namespace fireflythread {
namespace {

using Amounts = std::vector<std::int64_t>;

/// One resource of the shards' demands.
struct ResourceDemand {
  /// What the runs hold and what could start.
  Amounts wanted;
  /// The largest waiting task; 0 where nothing waits.
  Amounts largest;
  std::int64_t sum = 0;
};

auto DemandFor(std::int64_t TaskSize::*resource,
               const std::vector<OrganisationUsage>& shards) -> ResourceDemand {
  ResourceDemand demand;
  for (const OrganisationUsage& shard : shards) {
    demand.wanted.push_back(shard.held.*resource + shard.waiting.*resource);
    demand.largest.push_back(shard.largest.*resource);
    demand.sum += demand.wanted.back();
  }
  return demand;
}

/// Divides a cap that is enough for all.
auto DivideAmple(std::int64_t cap, const ResourceDemand& demand) -> Amounts {
  Amounts parts = demand.wanted;
  const auto shards = static_cast<std::int64_t>(parts.size());
  for (std::int64_t& part : parts) {
    part += (cap - demand.sum) / (shards + 1);
  }
  return parts;
}

/// Returns value * numerator / denominator without an overflow of the product.
auto Scale(std::int64_t value, std::int64_t numerator, std::int64_t denominator)
    -> std::int64_t {
  const double scaled = static_cast<double>(value) *
                        static_cast<double>(numerator) /
                        static_cast<double>(denominator);
  return static_cast<std::int64_t>(scaled);
}

/// Divides a cap that is not enough for all.
auto DivideScarce(std::int64_t cap,
                  const ResourceDemand& demand,
                  std::size_t first) -> Amounts {
  const std::size_t count = demand.wanted.size();
  Amounts parts(count, 0);
  std::int64_t left = cap;
  for (std::size_t step = 0; step < count; ++step) {
    const std::size_t shard = (first + step) % count;
    if (demand.largest[shard] <= left) {
      parts[shard] = demand.largest[shard];
      left -= parts[shard];
    }
  }
  std::int64_t missing = 0;
  for (std::size_t shard = 0; shard < count; ++shard) {
    missing += std::max<std::int64_t>(0, demand.wanted[shard] - parts[shard]);
  }
  if (missing <= 0) {
    return parts;
  }
  const std::int64_t rest = left;
  for (std::size_t shard = 0; shard < count; ++shard) {
    const std::int64_t more =
        std::max<std::int64_t>(0, demand.wanted[shard] - parts[shard]);
    const std::int64_t part =
        std::min({more, Scale(more, rest, missing), left});
    parts[shard] += part;
    left -= part;
  }
  return parts;
}

}  // namespace

auto DivideCap(const TaskSize& cap,
               const std::vector<OrganisationUsage>& shards,
               std::size_t first) -> std::vector<TaskSize> {
  std::vector<TaskSize> parts(shards.size());
  if (shards.empty()) {
    return parts;
  }
  for (const auto resource : kResources) {
    Amounts amounts(shards.size(), kNoLimit);
    if (cap.*resource > 0) {
      const ResourceDemand demand = DemandFor(resource, shards);
      amounts = demand.sum <= cap.*resource
                    ? DivideAmple(cap.*resource, demand)
                    : DivideScarce(cap.*resource, demand, first);
    }
    for (std::size_t shard = 0; shard < shards.size(); ++shard) {
      parts[shard].*resource = amounts[shard];
    }
  }
  return parts;
}

}  // namespace fireflythread
