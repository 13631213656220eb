#include "fireflythread/jobs/lease_times.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace fireflythread {

using std::chrono::milliseconds;
using Json = nlohmann::json;

auto EncodeLeaseTimes(const LeaseTimes& times) -> Json {
  Json json = Json::object();
  for (const auto& [worker, left] : times) {
    json[worker.value] = left.count();
  }
  return json;
}

auto DecodeLeaseTimes(const Json& row, const char* name) -> LeaseTimes {
  LeaseTimes times;
  const auto object = row.find(name);
  if (object == row.end() || !object->is_object()) {
    return times;
  }
  for (const auto& [worker, left] : object->items()) {
    if (left.is_number_unsigned()) {
      times[WorkerId(worker)] = milliseconds(left.get<std::int64_t>());
    }
  }
  return times;
}

}  // namespace fireflythread
