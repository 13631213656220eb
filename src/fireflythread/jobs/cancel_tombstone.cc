#include "fireflythread/jobs/cancel_tombstone.h"

#include <chrono>
#include <cstddef>
#include <nlohmann/json.hpp>

#include "fireflythread/jobs/ended_job.h"
#include "fireflythread/jobs/job_codec.h"

namespace fireflythread {
namespace {

using Json = nlohmann::json;

constexpr const char* kByAnybody = "cancelled_by_anybody";

/// Upper limit of the organisations that one tombstone names.
constexpr std::size_t kMaxOrganisations = 16;

}  // namespace

auto MayAccess(const std::optional<OrganisationName>& caller,
               const OrganisationName& owner) -> bool {
  return !caller || owner.empty() || owner == *caller;
}

auto IsCancelled(const CancelTombstone& tombstone,
                 const OrganisationName& owner) -> bool {
  if (tombstone.by_anybody || tombstone.organisations.contains(owner)) {
    return true;
  }
  return owner.empty() && !tombstone.organisations.empty();
}

auto HasRoomFor(const CancelTombstone& tombstone,
                const std::optional<OrganisationName>& caller) -> bool {
  return !caller || tombstone.organisations.contains(*caller) ||
         tombstone.organisations.size() < kMaxOrganisations;
}

auto WithCancellation(CancelTombstone tombstone,
                      const std::optional<OrganisationName>& caller,
                      WallTime now) -> CancelTombstone {
  tombstone.cancelled_at = now;
  if (caller) {
    tombstone.organisations.insert(*caller);
  } else {
    tombstone.by_anybody = true;
  }
  return tombstone;
}

auto EncodeCancelTombstone(const CancelTombstone& tombstone) -> std::string {
  Json json = Json::parse(
      EncodeEndedJob({JobState::kCancelled, tombstone.cancelled_at}));
  Json& organisations = json[kTombstoneMember] = Json::array();
  for (const OrganisationName& organisation : tombstone.organisations) {
    organisations.push_back(organisation.value);
  }
  if (tombstone.by_anybody) {
    json[kByAnybody] = true;
  }
  return json.dump();
}

auto DecodeCancelTombstone(std::string_view text)
    -> std::optional<CancelTombstone> {
  const auto ended_at = DecodeEndedTime(text);
  if (!ended_at) {
    return std::nullopt;
  }
  try {
    const Json json = Json::parse(text);
    const auto organisations = json.find(kTombstoneMember);
    if (organisations == json.end()) {
      return std::nullopt;
    }
    CancelTombstone tombstone;
    tombstone.cancelled_at = *ended_at;
    for (const Json& organisation : *organisations) {
      tombstone.organisations.insert(
          OrganisationName(organisation.get<std::string>()));
    }
    tombstone.by_anybody = json.value(kByAnybody, false);
    return tombstone;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace fireflythread
