#ifndef FIREFLYTHREAD_QUOTA_SIZE_JSON_H_
#define FIREFLYTHREAD_QUOTA_SIZE_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>

#include "fireflythread/jobs/task_size.h"

namespace fireflythread {

using Json = nlohmann::json;

[[nodiscard]] inline auto SizeToJson(const TaskSize& size) -> Json {
  return Json::array({size.millicores, size.memory_mb, size.accelerators});
}

/// Throws Json::exception when the value is no size.
[[nodiscard]] inline auto SizeFromJson(const Json& json) -> TaskSize {
  return {json.at(0).get<std::int64_t>(), json.at(1).get<std::int64_t>(),
          json.at(2).get<std::int64_t>()};
}

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_QUOTA_SIZE_JSON_H_
