#include "fireflythread/platform/protocol_json.h"

#include <catch2/catch.hpp>
#include <string>
#include <variant>

#include "fireflythread/platform/transaction.h"

namespace fireflythread::internal {

// Guards against a malformed answer that is taken for an outcome: an edit would
// be reported as committed, or as not committed, without knowing.
TEST_CASE("malformed outcomes have no value") {
  const std::string texts[] = {
      "",
      "[]",
      "{\"outcome\": \"committed\"",
      R"({"outcome":"committed"})",
      R"({"outcome":"committed","revision":"7"})",
      R"({"outcome":"committed","revision":-7})",
      R"({"outcome":"committed","revision":0})",
      R"({"outcome":"conflict"})",
      R"({"outcome":"conflict","current":[{"table":"t"}]})",
      R"({"outcome":"conflict","current":[7]})",
      R"({"outcome":7})",
      R"({"outcome":"maybe"})",
      std::string(100000, '['),
  };
  for (const std::string& text : texts) {
    CAPTURE(text.substr(0, 80));
    CHECK_FALSE(DecodeOutcome(text).has_value());
  }
}

// Guards against one transaction's outcome being given to another.
TEST_CASE("a batch answer needs one outcome for each transaction") {
  const std::string one =
      R"({"outcomes":[{"outcome":"committed","revision":4}]})";
  CHECK(DecodeBatchOutcomes(one, 1).has_value());
  CHECK_FALSE(DecodeBatchOutcomes(one, 2).has_value());
  CHECK_FALSE(DecodeBatchOutcomes(R"({"outcomes":7})", 0).has_value());
}

// Guards against a conflict that hides the rows an operator has to see.
TEST_CASE("a conflict names the current rows") {
  const auto outcome = DecodeOutcome(
      R"({"outcome":"conflict","current":
          [{"table":"config","key":"head","version":9,"value":"5"}]})");
  REQUIRE(outcome.has_value());
  const auto& conflict = std::get<Conflict>(*outcome);
  REQUIRE(conflict.current.size() == 1);
  CHECK(conflict.current[0] == Row{"config", "head", 9, "5"});
}

// Guards against a failed read being taken for an absent row.
TEST_CASE("an absent row differs from a malformed one") {
  const auto absent = DecodeRead(R"({"row":null})");
  REQUIRE(absent.has_value());
  CHECK_FALSE(absent->has_value());
  CHECK_FALSE(DecodeRead("{}").has_value());
  CHECK_FALSE(DecodeRead(R"({"row":{"table":"t","key":"k"}})").has_value());
}

// Guards against rows of another table entering a snapshot.
TEST_CASE("a scan holds rows of the asked-for table only") {
  const std::string text =
      R"({"revision":9,"deleted":["x"],"rows":
          [{"table":"fleet","key":"head","version":9,"value":"5"}]})";
  CHECK(DecodeScan(text, "fleet").has_value());
  CHECK_FALSE(DecodeScan(text, "config").has_value());
}

// Guards against a crash when a caller's key is not UTF-8.
TEST_CASE("a transaction that is not UTF-8 cannot be encoded") {
  Transaction transaction;
  transaction.writes.push_back({"request", "\xff\xfe", "{}"});
  CHECK_FALSE(EncodeTransaction(transaction).has_value());
}

}  // namespace fireflythread::internal
