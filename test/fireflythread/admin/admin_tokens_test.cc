#include "fireflythread/admin/admin_tokens.h"

#include <sys/stat.h>

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <random>

#include "fireflythread/admin/io_load_admin_tokens.h"

namespace fireflythread::admin {
namespace {

using Faults = std::vector<std::string>;

}  // namespace

// Guards against a token that gets a role other than the file's.
TEST_CASE("tokens have the role and name of their line") {
  const auto parsed = ParseAdminTokens(
      "# operators\n\nview eve 0123456789abcdef\r\nedit ada fedcba9876543210");
  REQUIRE(std::holds_alternative<AdminTokens>(parsed));
  const auto& tokens = std::get<AdminTokens>(parsed);
  const auto ada = tokens.Authenticate("Bearer fedcba9876543210");
  REQUIRE(ada.has_value());
  CHECK(ada->role == AdminRole::kEdit);
  CHECK(ada->name == "ada");
  CHECK(tokens.Authenticate("Bearer 0123456789abcdef")->role ==
        AdminRole::kView);
  for (const char* wrong : {"", "Bearer ", "Bearer 0123456789abcde",
                            "Bearer 0123456789abcdef0", "0123456789abcdef"}) {
    CHECK_FALSE(tokens.Authenticate(wrong).has_value());
  }
}

// Guards against a start with a broken file, and against messages that repeat
// a secret.
TEST_CASE("all faults of a token file are reported without the tokens") {
  const auto parsed = ParseAdminTokens(
      "admin ada fedcba9876543210\nview eve short\nedit fedcba9876543210\n");
  REQUIRE(std::holds_alternative<Faults>(parsed));
  const auto& faults = std::get<Faults>(parsed);
  REQUIRE(faults.size() == 3);
  CHECK_THAT(faults[0], Catch::Contains("line 1: the role"));
  for (const std::string& fault : faults) {
    CHECK(fault.find("fedcba9876543210") == std::string::npos);
  }
  CHECK(std::holds_alternative<Faults>(ParseAdminTokens("# none\n")));
}

// Guards against tokens that every user of the machine can read.
TEST_CASE("a token file that others may read is refused") {
  const auto path =
      std::filesystem::temp_directory_path() /
      ("fireflythread-tokens-" + std::to_string(std::random_device{}()));
  std::ofstream(path) << "edit ada fedcba9876543210\n";
  for (const mode_t mode : {0644U, 0602U, 0601U}) {
    chmod(path.c_str(), mode);
    const auto refused = LoadAdminTokens(path);
    REQUIRE(std::holds_alternative<Faults>(refused));
    CHECK_THAT(std::get<Faults>(refused)[0],
               Catch::Contains("lets others use the file"));
  }
  chmod(path.c_str(), 0640);
  CHECK(std::holds_alternative<AdminTokens>(LoadAdminTokens(path)));
  std::filesystem::remove(path);
  CHECK(std::holds_alternative<Faults>(LoadAdminTokens(path)));
}

}  // namespace fireflythread::admin
