#include "platform/config_check.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/config_check_print.h"
#include "platform/records_wire.h"
#include "test/fireflythread/config_check/checked_fixture.h"

namespace fireflythread::adapter {
namespace {

using test::PlacesOf;
using Places = std::vector<std::string>;

const std::string kGood =
    R"({"version":8,"routes":[{"name":"a","host":"h","path_prefix":"/a",)"
    R"("service":"desk"}],"services":[{"name":"desk"},)"
    R"({"name":"off","spare":true}],"tenants":[{"name":"north",)"
    R"("api_keys":["pqk8bdk9eevyxq2yyaza"],"weight":2}],)"
    R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
    R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";

auto FindingsOf(const std::string& text) -> Findings {
  return std::get<Findings>(CheckConfiguration(text, std::nullopt));
}

auto With(std::string text, const std::string& from, const std::string& to)
    -> std::string {
  return text.replace(text.find(from), from.size(), to);
}

/// Returns both forms of the output for these files.
auto OutputOf(const std::string& text, const std::string& against)
    -> std::string {
  const auto result = CheckConfiguration(text, against);
  if (const auto* failure = std::get_if<ConfigCheckFailure>(&result)) {
    return failure->reason;
  }
  const auto& findings = std::get<Findings>(result);
  return FormatFindingsText("f", findings) + FormatFindingsJson("f", findings);
}

/// Returns all that a decoder reads, to compare.
auto Flatten(const Configuration& configuration) -> std::string {
  std::string text = fmt::format("{} {} {}\n", configuration.version,
                                 configuration.requires_keys,
                                 configuration.unreadable_organisations);
  for (const Queue& queue : configuration.queues) {
    text +=
        fmt::format("{} {} {} {} {} {} {} {} {} {}\n", queue.name.value,
                    queue.host, queue.path_prefix, queue.service.value,
                    queue.terms.priority, queue.terms.max_attempts,
                    queue.terms.stretch, queue.terms.latency_objective.count(),
                    queue.needs_advice, queue.is_public);
  }
  for (const PoolService& service : configuration.services) {
    text += fmt::format("{} {} {}\n", service.name.value, service.spare,
                        service.guards_capacity);
  }
  for (const Organisation& organisation : configuration.organisations) {
    text +=
        fmt::format("{} {} {} {} {} {}\n", organisation.name.value,
                    fmt::join(organisation.api_keys, ","), organisation.weight,
                    organisation.cap.millicores, organisation.cap.memory_mb,
                    organisation.cap.accelerators);
  }
  return text;
}

TEST_CASE("A valid configuration has no findings", "[platform][config_check]") {
  const Findings findings = FindingsOf(kGood);
  CHECK(findings.list.empty());
  CHECK(ExitStatusOf(findings) == kExitNoFault);
}

TEST_CASE("Ten faults are found in one run", "[platform][config_check]") {
  // Guards against an operator who has to send a configuration ten times.
  const Findings findings = FindingsOf(
      R"({"version":8,"routes":[)"
      R"({"name":"a","host":"h","path_prefix":"/a","service":"desk",)"
      R"("max_attempts":0,"max_attempts":0},)"
      R"({"name":"b","host":"h","path_prefix":"/a","service":"desk"},)"
      R"({"name":"c","path_prefix":"/c","service":"none","stretch":"2"},)"
      R"({"name":"d","host":"h","path_prefix":"d","service":"off"}],)"
      R"("services":[{"name":"desk"},{"name":"off","spare":true},7],)"
      R"("tenants":[{"name":"north","api_keys":[],"cap":{"cpu":-1}}]})");
  CHECK(PlacesOf(findings) ==
        Places{"error $.routes[0].max_attempts", "error $.routes[1]",
               "error $.routes[2].host", "error $.routes[2].service",
               "error $.routes[3].path_prefix", "error $.routes[3].service",
               "error $.services[2]", "error $.tenants[0].cap.cpu",
               "warning $.routes[0].max_attempts",
               "warning $.routes[2].stretch"});
  CHECK(ExitStatusOf(findings) == kExitErrors);
  // Errors come first.
  CHECK(findings.list.front().severity == Severity::kError);
  CHECK(findings.list.back().severity == Severity::kWarning);
}

TEST_CASE("Each wrong type is reported with its place",
          "[platform][config_check]") {
  // Guards against a default that takes the place of a value unnoticed.
  const auto with = [](const std::string& from, const std::string& to) {
    return PlacesOf(FindingsOf(With(kGood, from, to)));
  };
  CHECK(with("\"weight\":2", "\"weight\":\"2\"") ==
        Places{"warning $.tenants[0].weight"});
  CHECK(with("\"weight\":2", "\"weight\":-2") ==
        Places{"error $.tenants[0].weight"});
  CHECK(with("[\"pqk8bdk9eevyxq2yyaza\"]", "[\"pqk8bdk9eevyxq2yyaza\",5]") ==
        Places{"error $.tenants[0].api_keys[1]"});
  CHECK(with("\"name\":\"north\"", "\"name\":5") ==
        Places{"error $.tenants[0].name"});
  CHECK(with("\"spare\":true", "\"spare\":1") ==
        Places{"warning $.services[1]", "warning $.services[1].spare"});
  CHECK(with("\"name\":\"a\"", "\"public\":\"yes\"") ==
        Places{"warning $.routes[0].public"});
  CHECK(with("\"name\":\"a\"", "\"latency_slo_ms\":0.5") ==
        Places{"warning $.routes[0].latency_slo_ms"});
  CHECK(with("\"name\":\"a\"", "\"priority\":99999999999") ==
        Places{"warning $.routes[0].priority"});
  CHECK(with("16384", "\"16384\"") ==
        Places{"warning $.limits.max_header_bytes"});
  CHECK(with("\"version\":8", "\"version\":\"8\"") ==
        Places{"error $.version"});
  CHECK(with("\"version\":8,", "") == Places{"error $.version"});
  CHECK(PlacesOf(
            FindingsOf(R"({"version":1,"routes":7,"services":{},"tenants":"x",)"
                       R"("limits":[]})")) ==
        Places{"error $.routes", "error $.routes[0]", "error $.services",
               "error $.tenants", "error $.tenants[0]", "warning $.limits"});
}

TEST_CASE("A check decodes what the program decodes",
          "[platform][config_check]") {
  // Guards against a check that passes what the program reads differently, and
  // against a report that changes what the program does.
  const std::vector<std::string> values = {"8",
                                           "\"a\"",
                                           "\"h\"",
                                           "\"/a\"",
                                           "\"desk\"",
                                           "true",
                                           "\"off\"",
                                           "\"north\"",
                                           "[\"pqk8bdk9eevyxq2yyaza\"]",
                                           "2",
                                           "\"version\"",
                                           "\"tenants\"",
                                           "\"api_keys\"",
                                           "\"weight\"",
                                           "\"spare\""};
  const std::vector<std::string> others = {
      "null",
      "-1",
      "0.5",
      "1e300",
      "\"\"",
      "\"x\"",
      "7",
      "false",
      "[]",
      "{}",
      "[7,\"k\",\"\"]",
      "{\"a\":\"k\",\"b\":{\"name\":\"n\"}}",
      "\"cap\":{\"cpu\":-1},\"name\"",
      "\"routes\":{\"r\":{}},\"x\"",
      "\"public\":true,\"stretch\""};
  rc::check("same result with and without a report", [&] {
    std::string text = kGood;
    const int changes = *rc::gen::inRange(1, 4);
    for (int i = 0; i < changes; ++i) {
      const auto from = *rc::gen::elementOf(values);
      const auto position = text.find(from);
      if (position != std::string::npos) {
        text.replace(position, from.size(), *rc::gen::elementOf(others));
      }
    }
    ConfigurationReport report;
    const auto reported = DecodeConfiguration(text, report);
    const auto plain = DecodeConfiguration(text);
    RC_CLASSIFY(plain.has_value(), "decoded");
    if (!plain) {
      RC_ASSERT(CountOf(report.findings, Severity::kError) > 0U);
      return;
    }
    RC_ASSERT(reported.has_value());
    RC_ASSERT(Flatten(*reported) == Flatten(*plain));
    RC_ASSERT(report.places.queues.size() == plain->queues.size());
    RC_ASSERT(report.places.services.size() == plain->services.size());
    RC_ASSERT(report.places.organisations.size() ==
              plain->organisations.size());
  });
}

TEST_CASE("Differences are found and are no fault",
          "[platform][config_check]") {
  const std::string after = With(With(kGood, "\"version\":8", "\"version\":9"),
                                 "pqk8bdk9eevyxq2yyaza", "another-secret-key");
  const auto findings =
      std::get<Findings>(CheckConfiguration(after, std::string_view(kGood)));
  CHECK(PlacesOf(findings) == Places{"difference $.tenants[0].api_keys",
                                     "difference $.tenants[0].api_keys"});
  CHECK(ExitStatusOf(findings) == kExitNoFault);
  // The first digits of `printf %s another-secret-key | sha256sum`.
  CHECK(findings.list.at(0).reason.find("(SHA-256 4e67)") != std::string::npos);
  const auto same =
      std::get<Findings>(CheckConfiguration(kGood, std::string_view(kGood)));
  CHECK(PlacesOf(same) == Places{"error $.version"});
}

TEST_CASE("A key is never in the output", "[platform][config_check]") {
  // Guards against a key in a terminal, a log of a build or a ticket, wherever
  // an operator put it by mistake and however the file is broken.
  const std::string key = "pqk8bdk9eevyxq2yyaza";
  const std::vector<std::string> texts = {
      With(kGood, "\"north\"", "\"" + key + "\""),
      With(kGood, "\"name\":\"a\"", "\"name\":\"x-" + key + "\""),
      With(kGood, "\"/a\"", "\"" + key + "\""),
      With(kGood, "\"service\":\"desk\"", "\"service\":\"" + key + "\""),
      With(kGood, "\"limits\"",
           "\"" + key + "\":1,\"" + key + "\":1,\"limits\""),
      // An organisation that the decoder leaves out.
      With(With(kGood, "\"weight\":2", "\"weight\":-2"), "\"/a\"",
           "\"" + key + "\""),
      // Keys that two organisations hold.
      With(kGood, "\"tenants\":[",
           R"("tenants":[{"name":"south","api_keys":[")" + key + "\"]},"),
      // Lists of another type, with the key as a value and as a member.
      With(kGood, "[\"" + key + "\"]", "\"" + key + "\""),
      With(kGood, "[\"" + key + "\"]",
           "{\"" + key + "\":1,\"" + key + "\":[1]}"),
      With(kGood, "[\"" + key + "\"]", "[[\"" + key + "\"],{}]"),
      // Syntax faults next to the key.
      With(kGood, key + "\"", key), With(kGood, "\"" + key, key),
      With(kGood, key, key + "\xff"), With(kGood, key, key + "\n"),
      kGood.substr(0, kGood.find(key) + key.size()), key, "\"" + key + "\""};
  for (const std::string& text : texts) {
    INFO(text);
    for (const std::string& against :
         {kGood, With(kGood, key, "another-secret-key")}) {
      for (const auto& output :
           {OutputOf(text, against), OutputOf(against, text)}) {
        CHECK_FALSE(output.empty());
        CHECK(output.find(key) == std::string::npos);
        CHECK(output.find(key.substr(0, 8)) == std::string::npos);
        CHECK(output.find("another-secret-key") == std::string::npos);
      }
    }
  }
}

TEST_CASE("Hostile files give a clear error", "[platform][config_check]") {
  // Guards against a check that crashes or does not end.
  constexpr std::size_t kLevels = 100'000;
  const std::string lists =
      std::string(kLevels, '[') + std::string(kLevels, ']');
  std::string objects;
  for (std::size_t i = 0; i < kLevels; ++i) {
    objects += R"({"a":)";
  }
  const auto reason_of = [](const std::string& text) -> std::string {
    const Findings findings = FindingsOf(text);
    CHECK(ExitStatusOf(findings) == kExitErrors);
    return findings.list.at(0).reason;
  };
  const std::string deep = "the text is nested more than 32 levels deep";
  CHECK(reason_of(lists) == deep);
  CHECK(reason_of(objects) == deep);
  CHECK(reason_of(R"({"version":1,"routes":)" + lists + "}") == deep);
  CHECK(reason_of(R"({"version":1,)"
                  "\n\"routes\":[\xff]}") ==
        "the text is not valid UTF-8 at line 2, column 11");
  CHECK(reason_of(std::string("{\0}", 3)) ==
        "the text is not valid UTF-8 at line 1, column 2");
  CHECK(reason_of("{\"version\":1,}") ==
        "the text is not valid JSON at line 1, column 14");
  CHECK(reason_of("{\"version\":1e999}").starts_with("the text is not valid"));
  CHECK(reason_of("").starts_with("the text is not valid JSON"));
  CHECK(reason_of("[]") == "the text is not a JSON object");
  CHECK(reason_of("null") == "the text is not a JSON object");
}

TEST_CASE("A file of 5 MB of faults is checked", "[platform][config_check]") {
  // Guards against a check that takes all memory or quadratic time.
  constexpr std::size_t kBytes = 5'000'000;
  const auto repeat = [](const std::string& begin, const std::string& unit,
                         const std::string& end) -> std::string {
    std::string text = begin;
    while (text.size() < kBytes) {
      text += unit;
    }
    return text + end;
  };
  for (const std::string& text :
       {repeat(R"({"version":1,"routes":[0)", ",0", "]}"),
        repeat(R"({"version":1,"routes":[{})", ",{}", "]}"),
        repeat(R"({"version":1,"tenants":[0)", R"(,{"name":"n"})", "]}"),
        repeat(R"({"version":1)", R"(,"version":1)", "}"),
        repeat(R"({"version":1,"tenants":[{"name":"n","api_keys":["k")",
               R"(,"k")", "]}]}"),
        repeat(R"({"version":1,"routes":[{"name":")", "n", "\"}]}"),
        repeat("", " ", "")}) {
    const Findings findings = FindingsOf(text);
    CHECK(ExitStatusOf(findings) != kExitNoFault);
    CHECK(findings.list.size() <= kMaxFindings);
    CHECK(FormatFindingsText("f", findings).size() < kBytes);
  }
}

TEST_CASE("A check accepts any text", "[platform][config_check]") {
  rc::check("any two texts",
            [](const std::string& text, const std::string& against) {
              (void)OutputOf(text, against);
              (void)OutputOf(text, kGood);
            });
}

TEST_CASE("Names cannot control the operator's terminal",
          "[platform][config_check]") {
  // Guards against a name that writes lines of its own into the output.
  CHECK(EscapeControls("a\n\x1b[2J\x7f\xc2\x9b") == "a\\x0a\\x1b[2J\\x7f\\x9b");
  CHECK(EscapeControls("\xc3\xa4 \xc2\xa0") == "\xc3\xa4 \xc2\xa0");
  const Findings findings =
      FindingsOf(With(kGood, "\"service\":\"desk\"", R"("service":"x\ny")"));
  const std::string output = FormatFindingsText("f", findings);
  CHECK(output.find("\"x\\x0ay\"") != std::string::npos);
}

TEST_CASE("Both formats name all findings and the exit status",
          "[platform][config_check]") {
  Findings findings;
  AddFinding(findings, Severity::kError, "$.a", "first");
  AddFinding(findings, Severity::kWarning, "$.b", "second");
  CHECK(FormatFindingsText("f", findings) ==
        "error      $.a: first\nwarning    $.b: second\n"
        "f: 1 error, 1 warning, 0 differences\n");
  const auto json =
      nlohmann::json::parse(FormatFindingsJson("f\xff", findings));
  CHECK(json.at("errors") == 1);
  CHECK(json.at("warnings") == 1);
  CHECK(json.at("differences") == 0);
  CHECK(json.at("not_listed") == 0);
  CHECK(json.at("exit_status") == kExitErrors);
  CHECK(json.at("findings").at(1).at("place") == "$.b");
}

TEST_CASE("The exit status follows the worst finding",
          "[platform][config_check]") {
  // Guards against a script that sends a configuration with errors.
  Findings findings;
  AddFinding(findings, Severity::kDifference, "$", "");
  CHECK(ExitStatusOf(findings) == kExitNoFault);
  AddFinding(findings, Severity::kWarning, "$", "");
  CHECK(ExitStatusOf(findings) == kExitWarnings);
  AddFinding(findings, Severity::kError, "$", "");
  CHECK(ExitStatusOf(findings) == kExitErrors);
}

TEST_CASE("A check that could not run is no passed check",
          "[platform][config_check]") {
  // Guards against a script that takes a missing file for a valid one.
  CHECK(RunConfigCheck({"/nonexistent/file", "", "text"}) == kExitNotChecked);
  CHECK(RunConfigCheck({"", "", "text"}) == kExitNotChecked);
  CHECK(RunConfigCheck({"/", "", "text"}) == kExitNotChecked);
  CHECK(RunConfigCheck({"/dev/zero", "", "text"}) == kExitNotChecked);
  CHECK(RunConfigCheck({"/dev/null", "", "xml"}) == kExitNotChecked);
  CHECK(RunConfigCheck({"/dev/null", "/dev/null", "text"}) == kExitNotChecked);
  for (const char* against : {"", "[]", "{}", "{\"version\":1"}) {
    INFO(against);
    CHECK(std::holds_alternative<ConfigCheckFailure>(
        CheckConfiguration(kGood, std::string_view(against))));
  }
}

}  // namespace
}  // namespace fireflythread::adapter
