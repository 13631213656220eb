#include "fireflythread/quota/quota_usage.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/quota/size_json.h"

namespace fireflythread {

auto EncodeQuotaUsage(const QuotaUsage& usage) -> std::string {
  Json organisations = Json::object();
  for (const auto& [name, each] : usage.organisations) {
    organisations[name.value] = {SizeToJson(each.held),
                                 SizeToJson(each.waiting),
                                 SizeToJson(each.largest)};
  }
  return Json{{"grant", usage.grant_number},
              {"organisations", std::move(organisations)}}
      .dump();
}

auto DecodeQuotaUsage(std::string_view text) -> std::optional<QuotaUsage> {
  try {
    const Json json = Json::parse(text);
    QuotaUsage usage;
    usage.grant_number = json.at("grant").get<std::uint64_t>();
    for (const auto& [name, each] : json.at("organisations").items()) {
      usage.organisations[OrganisationName(name)] = {SizeFromJson(each.at(0)),
                                                     SizeFromJson(each.at(1)),
                                                     SizeFromJson(each.at(2))};
    }
    return usage;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace fireflythread
