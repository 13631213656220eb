#include "fireflythread/config_check/key_redaction.h"

#include <catch2/catch.hpp>

#include "fireflythread/config_check/finding.h"

namespace fireflythread {
namespace {

TEST_CASE("Keys are hidden wherever they are in a text", "[config_check]") {
  // Guards against a key that an operator put into a name by mistake.
  KeyRedaction redaction;
  for (const char* key :
       {"", "ab", "secretkey", "secretkey-long", "\xc3\xa4"}) {
    redaction.Add(key);
  }
  CHECK(redaction.Redact("xsecretkeyy") == "x(hidden key)y");
  CHECK(redaction.Redact("secretkey-long") == "(hidden key)");
  CHECK(redaction.Redact("secretkey-lon") == "(hidden key)-lon");
  CHECK(redaction.Redact("\"ab\" cab abc") == "\"(hidden key)\" cab abc");
  CHECK(redaction.Redact("ab") == "(hidden key)");
  CHECK(redaction.Redact("\"\xc3\xa4\"") == "\"(hidden key)\"");
  CHECK(redaction.Redact("nothing").find("hidden") == std::string::npos);
  CHECK(KeyRedaction().Redact("ab secretkey") == "ab secretkey");
}

TEST_CASE("Text after the beginning of many keys is hidden", "[config_check]") {
  // Guards against a file whose keys make the search take minutes.
  KeyRedaction redaction;
  for (std::size_t length = 8; length < 100; ++length) {
    redaction.Add(std::string(length, 'a') + "b");
  }
  CHECK(redaction.Redact("x" + std::string(50, 'a')) == "x(hidden key)");
}

TEST_CASE("Findings above the maximum are counted", "[config_check]") {
  // Guards against a file of nothing but faults that takes all memory, and
  // against an exit status that overlooks an error for it.
  Findings findings;
  for (std::size_t i = 0; i < kMaxFindings; ++i) {
    AddFinding(findings, Severity::kWarning, "$", "reason");
  }
  AddFinding(findings, Severity::kError, "$", "reason");
  CHECK(findings.list.size() == kMaxFindings);
  CHECK(CountOf(findings, Severity::kWarning) == kMaxFindings);
  CHECK(CountOf(findings, Severity::kError) == 1);
}

}  // namespace
}  // namespace fireflythread
