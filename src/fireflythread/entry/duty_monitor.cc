#include "fireflythread/entry/duty_monitor.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <chrono>
#include <string>
#include <vector>

#include "fireflythread/duties/pool_supply.h"

namespace fireflythread {
namespace {

constexpr std::chrono::seconds kReportPeriod{1};

/// Returns one number of each part, in their order: "12,14,9".
auto FormatParts(const std::vector<PartNeed>& parts, int PartNeed::*number)
    -> std::string {
  std::vector<int> numbers;
  numbers.reserve(parts.size());
  for (const PartNeed& part : parts) {
    numbers.push_back(part.*number);
  }
  return fmt::format("{}", fmt::join(numbers, ","));
}

}  // namespace

DutyMonitor::DutyMonitor(const Logger& log) : logger(log) {}

auto DutyMonitor::Report(const DutyState& state, TimePoint now) -> void {
  if (now - this->reported_at < kReportPeriod) {
    return;
  }
  this->reported_at = now;
  PoolSupplies supplies = CountSupplies(state);
  const PoolSupply& spare = supplies[state.spare_pool];
  for (const auto& [pool, need] : state.needs) {
    const PoolSupply& supply = supplies[pool];
    this->logger.Info(
        "duties", "pool_status",
        {{"pool", pool},
         {"vms", supply.vms},
         {"upkeeps", supply.upkeeps},
         {"needed", need.needed},
         {"needed_with_late_work", need.needed_with_late_work},
         {"with_long_running", need.long_running_workers},
         {"vms_of_parts", fmt::format("{}", fmt::join(supply.parts, ","))},
         {"needed_by_parts",
          FormatParts(need.part_needs, &PartNeed::needed_with_late_work)},
         {"lacking_by_parts",
          FormatParts(need.part_needs, &PartNeed::lacking_with_late_work)},
         {"spare_vms", spare.vms}});
  }
}

}  // namespace fireflythread
