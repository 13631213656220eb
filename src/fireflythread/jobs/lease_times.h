#ifndef FIREFLYTHREAD_JOBS_LEASE_TIMES_H_
#define FIREFLYTHREAD_JOBS_LEASE_TIMES_H_

#include <chrono>
#include <map>
#include <nlohmann/json_fwd.hpp>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Workers, each with the time until its leases have certainly expired.
using LeaseTimes = std::map<WorkerId, std::chrono::milliseconds>;

/// Returns an object with the times in milliseconds, by the workers' ids.
[[nodiscard]] auto EncodeLeaseTimes(const LeaseTimes& times) -> nlohmann::json;

/// Returns the times of the object `name` of a row: none if it is missing or no
/// object, and without those that are not whole milliseconds from 0.
[[nodiscard]] auto DecodeLeaseTimes(const nlohmann::json& row, const char* name)
    -> LeaseTimes;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_JOBS_LEASE_TIMES_H_
