#include "fireflythread/quota/quota_grant.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/quota/size_json.h"

namespace fireflythread {

auto EncodeQuotaGrant(const QuotaGrant& grant) -> std::string {
  Json organisations = Json::object();
  for (const auto& [name, limit] : grant.limits) {
    organisations[name.value] = {SizeToJson(limit),
                                 SizeToJson(SizeOf(grant.bounds, name))};
  }
  return Json{{"number", grant.number},
              {"organisations", std::move(organisations)}}
      .dump();
}

auto DecodeQuotaGrant(std::string_view text) -> std::optional<QuotaGrant> {
  try {
    const Json json = Json::parse(text);
    QuotaGrant grant;
    grant.number = json.at("number").get<std::uint64_t>();
    for (const auto& [name, sizes] : json.at("organisations").items()) {
      const OrganisationName organisation(name);
      grant.limits[organisation] = SizeFromJson(sizes.at(0));
      grant.bounds[organisation] = SizeFromJson(sizes.at(1));
    }
    return grant;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

auto SizeOf(const std::map<OrganisationName, TaskSize>& sizes,
            const OrganisationName& name) -> TaskSize {
  const auto found = sizes.find(name);
  return found == sizes.end() ? TaskSize{} : found->second;
}

}  // namespace fireflythread
