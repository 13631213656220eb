#include "fireflythread/config/codec.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/config/config_kind.h"
#include "fireflythread/config/field_reader.h"
#include "fireflythread/config/pool_spec.h"
#include "fireflythread/config/profile.h"
#include "fireflythread/config/service_spec.h"
#include "fireflythread/config/team_quota.h"
#include "fireflythread/config/window_codec.h"

namespace fireflythread {

namespace {

using internal::FieldReader;

constexpr int kLargestPool = 100000;
constexpr int kLargestInFlight = 1000000;
constexpr double kLargestRate = 1e6;
constexpr std::int64_t kLongestDeadlineMs = 30000;
constexpr double kLongestIntervalDays = 365;

using Days = std::chrono::duration<double, std::chrono::days::period>;

template <typename T>
auto Finish(FieldReader& reader, T value, UnknownFields unknown) -> Decoded<T> {
  if (unknown == UnknownFields::kReject) {
    reader.RejectUnknownFields();
  }
  if (!IsValidName(value.name.value)) {
    reader.AddFault("name", "is not a name",
                    "1 to 63 of a-z, 0-9 and inner hyphens");
  }
  std::vector<ConfigFault> faults = reader.TakeFaults();
  if (!faults.empty()) {
    return faults;
  }
  return value;
}

}  // namespace

auto DecodeProfile(const std::string& name,
                   std::uint64_t version,
                   const std::string& json,
                   UnknownFields unknown) -> Decoded<Profile> {
  Profile profile;
  profile.name = ProfileName(name);
  profile.version = version;
  FieldReader reader(ConfigKey(ConfigKind::kProfile, name), json);
  reader.Real("headroom", 0, 4, profile.headroom);
  reader.Real("max_unavailable", 0.01, 1, profile.max_unavailable);
  reader.Real("availability", 0.5, 0.99999, profile.availability);
  reader.Integer("priority", 0, 100, profile.priority);
  reader.Real("weight_buffer", 0, 10, profile.weight_buffer);
  reader.Real("weight_rollout", 0, 10, profile.weight_rollout);
  reader.Real("weight_moves", 0, 10, profile.weight_moves);
  double interval_days = 0;
  reader.Real("maintenance_interval_days", 0, kLongestIntervalDays,
              interval_days);
  profile.maintenance_interval =
      std::chrono::round<std::chrono::seconds>(Days(interval_days));
  internal::ReadWindows(reader, profile.windows);
  return Finish(reader, std::move(profile), unknown);
}

auto DecodeService(const std::string& name,
                   std::uint64_t version,
                   const std::string& json,
                   UnknownFields unknown) -> Decoded<ServiceSpec> {
  ServiceSpec service;
  service.name = ServiceName(name);
  service.version = version;
  FieldReader reader(ConfigKey(ConfigKind::kService, name), json);
  reader.Name("pool", service.pool.value);
  reader.Name("profile", service.profile.value);
  std::int64_t deadline_ms = service.default_deadline.count();
  reader.Integer("default_deadline_ms", std::int64_t{1}, kLongestDeadlineMs,
                 deadline_ms);
  service.default_deadline = std::chrono::milliseconds(deadline_ms);
  return Finish(reader, std::move(service), unknown);
}

auto DecodePool(const std::string& name,
                std::uint64_t version,
                const std::string& json,
                UnknownFields unknown) -> Decoded<PoolSpec> {
  PoolSpec pool;
  pool.name = PoolName(name);
  pool.version = version;
  FieldReader reader(ConfigKey(ConfigKind::kPool, name), json);
  reader.Integer("min_vms", 0, kLargestPool, pool.min_vms);
  reader.Integer("max_vms", 0, kLargestPool, pool.max_vms);
  reader.Flag("spare", pool.spare);
  reader.Integer("slots_per_worker", 1, 64, pool.slots_per_worker);
  reader.Integer("connections_per_worker", 1, 1000,
                 pool.connections_per_worker);
  if (pool.min_vms > pool.max_vms) {
    reader.AddFault("min_vms", "is above max_vms", "at most max_vms");
  }
  if (pool.connections_per_worker < pool.slots_per_worker) {
    reader.AddFault("connections_per_worker", "is below slots_per_worker",
                    "slots_per_worker to 1000");
  }
  return Finish(reader, std::move(pool), unknown);
}

auto DecodeTeam(const std::string& name,
                std::uint64_t version,
                const std::string& json,
                UnknownFields unknown) -> Decoded<TeamQuota> {
  TeamQuota team;
  team.name = TeamName(name);
  team.version = version;
  FieldReader reader(ConfigKey(ConfigKind::kTeam, name), json);
  reader.Integer("max_in_flight", 0, kLargestInFlight, team.max_in_flight);
  reader.Real("max_rate", 0, kLargestRate, team.max_rate);
  reader.Real("weight", 0.01, 100, team.weight);
  return Finish(reader, std::move(team), unknown);
}

auto EncodeProfile(const Profile& profile) -> std::string {
  return nlohmann::json{
      {"headroom", profile.headroom},
      {"max_unavailable", profile.max_unavailable},
      {"availability", profile.availability},
      {"priority", profile.priority},
      {"weight_buffer", profile.weight_buffer},
      {"weight_rollout", profile.weight_rollout},
      {"weight_moves", profile.weight_moves},
      {"maintenance_interval_days", Days(profile.maintenance_interval).count()},
      {"windows", internal::EncodeWindows(profile.windows)}}
      .dump();
}

auto EncodeService(const ServiceSpec& service) -> std::string {
  return nlohmann::json{
      {"pool", service.pool.value},
      {"profile", service.profile.value},
      {"default_deadline_ms", service.default_deadline.count()}}
      .dump();
}

auto EncodePool(const PoolSpec& pool) -> std::string {
  return nlohmann::json{{"min_vms", pool.min_vms},
                        {"max_vms", pool.max_vms},
                        {"spare", pool.spare},
                        {"slots_per_worker", pool.slots_per_worker},
                        {"connections_per_worker", pool.connections_per_worker}}
      .dump();
}

auto EncodeTeam(const TeamQuota& team) -> std::string {
  return nlohmann::json{{"max_in_flight", team.max_in_flight},
                        {"max_rate", team.max_rate},
                        {"weight", team.weight}}
      .dump();
}

auto EncodeHead(std::uint64_t version) -> std::string {
  return std::to_string(version);
}

auto DecodeHead(const std::string& json) -> std::optional<std::uint64_t> {
  const nlohmann::json value = nlohmann::json::parse(json, nullptr, false);
  if (!value.is_number_unsigned()) {
    return std::nullopt;
  }
  return value.get<std::uint64_t>();
}

}  // namespace fireflythread
