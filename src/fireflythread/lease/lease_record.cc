#include "fireflythread/lease/lease_record.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace fireflythread {

namespace {

/// A longer duration in a row is taken for a malformed one.
constexpr std::uint64_t kLongestLeaseMs = 3'600'000;

auto ReadNumber(const nlohmann::json& object, const char* field)
    -> std::optional<std::uint64_t> {
  const auto found = object.find(field);
  if (found == object.end() || !found->is_number_unsigned()) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

}  // namespace

auto EncodeLease(const LeaseRecord& record) -> std::string {
  const auto duration_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(record.duration);
  return nlohmann::json{{"holder", record.holder.value},
                        {"incarnation", record.incarnation},
                        {"epoch", record.epoch},
                        {"duration_ms", duration_ms.count()}}
      .dump();
}

auto DecodeLease(const std::string& json) -> std::optional<LeaseRecord> {
  const nlohmann::json object = nlohmann::json::parse(json, nullptr, false);
  if (!object.is_object()) {
    return std::nullopt;
  }
  const auto holder = object.find("holder");
  const auto incarnation = ReadNumber(object, "incarnation");
  const auto epoch = ReadNumber(object, "epoch");
  const auto duration_ms = ReadNumber(object, "duration_ms");
  if (holder == object.end() || !holder->is_string() || !incarnation ||
      !epoch || !duration_ms || *duration_ms > kLongestLeaseMs) {
    return std::nullopt;
  }
  return LeaseRecord{.holder = EntryId(holder->get<std::string>()),
                     .incarnation = *incarnation,
                     .epoch = *epoch,
                     .duration = std::chrono::milliseconds(*duration_ms)};
}

}  // namespace fireflythread
