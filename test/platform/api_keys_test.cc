#include "platform/api_keys.h"

#include <catch2/catch.hpp>
#include <string>

namespace fireflythread::adapter {
namespace {

auto MakeOrganisation(const char* name, std::vector<std::string> keys)
    -> Organisation {
  Organisation organisation;
  organisation.name = OrganisationName(name);
  organisation.api_keys = std::move(keys);
  return organisation;
}

TEST_CASE("A key leads to its organisation until it is withdrawn",
          "[platform]") {
  // Guards against requests that run under a key that no configuration holds,
  // or under one that was withdrawn.
  ApiKeys keys;
  CHECK_FALSE(keys.Find("").has_value());
  keys.Set({MakeOrganisation("north", {"k1", "k2"}),
            MakeOrganisation("south", {"k3"})});
  CHECK(keys.Find("k2") == OrganisationName("north"));
  CHECK(keys.Find("k3") == OrganisationName("south"));
  for (const char* unknown : {"", "k", "k11", "K1", " k1", "k4"}) {
    INFO(unknown);
    CHECK_FALSE(keys.Find(unknown).has_value());
  }
  keys.Set({MakeOrganisation("north", {"k2"})});
  CHECK_FALSE(keys.Find("k1").has_value());
  CHECK_FALSE(keys.Find("k3").has_value());
  CHECK(keys.Find("k2") == OrganisationName("north"));
  CHECK(keys.SharedKeys() == 0);
}

TEST_CASE("A key of two organisations belongs to the first", "[platform]") {
  ApiKeys keys;
  keys.Set({MakeOrganisation("north", {"k1", "k1"}),
            MakeOrganisation("south", {"k1"})});
  CHECK(keys.Find("k1") == OrganisationName("north"));
  CHECK(keys.SharedKeys() == 1);
}

}  // namespace
}  // namespace fireflythread::adapter
