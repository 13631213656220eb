#include "fireflythread/config/codec.h"

#include <catch2/catch.hpp>

#include "fireflythread/config/pool_spec.h"
#include "fireflythread/config/profile.h"
#include "fireflythread/config/service_spec.h"
#include "fireflythread/config/team_quota.h"

namespace fireflythread {

constexpr auto kReject = UnknownFields::kReject;

// Guards against a field that is written to the table but not read back, which
// would make entries differ after a restart.
TEST_CASE("an encoded profile reads back equal") {
  Profile profile;
  profile.name = ProfileName("steady");
  profile.version = 9;
  profile.headroom = 1.75;
  profile.priority = 3;
  profile.weight_moves = 2.5;
  profile.windows = {
      {std::chrono::minutes(1320), std::chrono::minutes(240), {0, 6}}};
  CHECK(std::get<Profile>(DecodeProfile("steady", 9, EncodeProfile(profile),
                                        kReject)) == profile);
}

// Guards against an operator having to correct one fault after another, and
// against a refusal that does not say what is allowed.
TEST_CASE("every fault names its field and the allowed range") {
  const auto faults = std::get<std::vector<ConfigFault>>(
      DecodeProfile("steady", 0,
                    R"({"headroom": 5, "priority": "high", "max_unavailabel": 1,
          "windows": [{"begin": "25:00"}]})",
                    kReject));
  REQUIRE(faults.size() == 4);
  CHECK(Describe(faults[0]) ==
        "profile/steady: headroom: is out of range or not a number (allowed: "
        "a number from 0 to 4)");
  CHECK(faults[1].allowed == "a whole number from 0 to 100");
  CHECK(faults[2].field == "windows[0]");
  CHECK(faults[3].field == "max_unavailabel");
}

// Guards against values at the edges of the number types, which would wrap or
// terminate the process.
TEST_CASE("extreme values are faults") {
  for (const char* value : {"18446744073709551615", "-9223372036854775808",
                            "1e400", "1.5", "null", "[]", "{}", "\"8\""}) {
    INFO(value);
    const std::string json = std::string("{\"max_vms\": ") + value + "}";
    CHECK(std::holds_alternative<std::vector<ConfigFault>>(
        DecodePool("desk", 0, json, kReject)));
  }
  CHECK(std::holds_alternative<std::vector<ConfigFault>>(
      DecodePool("desk", 0, R"({"slots_per_worker": 9,
                                "connections_per_worker": 8})",
                 kReject)));
  CHECK(std::holds_alternative<std::vector<ConfigFault>>(
      DecodeTeam("Bad Name", 0, "{}", kReject)));
  CHECK(std::holds_alternative<std::vector<ConfigFault>>(
      DecodeService("orders", 0, "{}", UnknownFields::kIgnore)));
}

// Guards against an older entry dropping rows of a newer one during a rolling
// replacement.
TEST_CASE("rows with unknown fields are read") {
  const auto decoded = DecodeTeam("cut", 4, R"({"weight": 2, "color": "red"})",
                                  UnknownFields::kIgnore);
  CHECK(std::get<TeamQuota>(decoded).weight == 2);
}

}  // namespace fireflythread
