#include "fireflythread/settings/io_load_settings.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <chrono>

#include "test/fireflythread/settings/settings_text.h"

namespace fireflythread {
namespace {

using namespace std::chrono_literals;

auto AllFaults(const std::string& text) -> std::string {
  const auto result = ParseSettings("test.ini", text);
  std::string all;
  if (const auto* faults = std::get_if<std::vector<SettingsFault>>(&result)) {
    for (const SettingsFault& fault : *faults) {
      all += FormatFault(fault) + "\n";
    }
  }
  return all;
}

auto With(const std::string& lines) -> std::string {
  return test::MinimalSettings() + lines;
}

}  // namespace

// Guards against a zone that is left out of the cell's claim, or read as
// another one, so that two cells could manage its VMs.
TEST_CASE("settings of the cell take a list of zones") {
  const auto result =
      ParseSettings("test.ini", With("[cell]\nname=east\nzones = z1, z2,z3\n"));
  REQUIRE(std::holds_alternative<DaemonSettings>(result));
  const auto& cell = std::get<DaemonSettings>(result).cell;
  CHECK(cell.name == CellName("east"));
  CHECK(cell.zones == std::set{ZoneName("z1"), ZoneName("z2"), ZoneName("z3")});
  for (const char* zones : {"", "z1,,z2", "z1,z1", "z1,", "z 1"}) {
    CHECK_FALSE(AllFaults(With("[cell]\nzones = " + std::string(zones) + "\n"))
                    .empty());
  }
}

// Guards against a default or a given value that does not reach the daemon.
TEST_CASE("settings keep defaults and take given values") {
  const auto result =
      ParseSettings("test.ini", With("[lease]\nduration = 4s\nrenew=500ms\n"));
  REQUIRE(std::holds_alternative<DaemonSettings>(result));
  const auto& settings = std::get<DaemonSettings>(result);
  CHECK(settings.entry.id == EntryId("entry-1"));
  CHECK(settings.lease.duration == 4s);
  CHECK(settings.lease.renew == 500ms);
  CHECK(settings.freshness.limit == 2s);
  CHECK(settings.peers.members.size() == 2);
  CHECK(settings.peers.members.at(EntryId("entry-2")).port == 7002);
}

// Guards against an operator who has to mend a file fault by fault.
TEST_CASE("all faults of a settings file are reported at once") {
  const std::string faults =
      AllFaults(With("[limits]\nrequest_body = 1GiB\nqueue_lenght = 5\n"
                     "[freshnes]\nlimit = 2s\n[freshness]\npoll = 5m\n"
                     "[telemetry]\nlog_level = loud\nsample_ratio = nan\n"));
  using Catch::Contains;
  CHECK_THAT(faults, Contains("test.ini: [limits] request_body = \"1GiB\": the "
                              "value is not allowed; allowed: 1KiB to 64MiB"));
  CHECK_THAT(faults, Contains("[limits] queue_lenght = \"5\": the key is "
                              "unknown; allowed: request_body"));
  CHECK_THAT(faults, Contains("[freshnes]"));
  CHECK_THAT(faults, Contains("[freshness] poll = \"5m\""));
  CHECK_THAT(faults, Contains("log_level = \"loud\""));
  CHECK_THAT(faults, Contains("sample_ratio = \"nan\""));
}

// Guards against a start with a required key left out.
TEST_CASE("missing keys are reported with what they allow") {
  const std::string faults = AllFaults("");
  CHECK_THAT(faults, Catch::Contains("[entry] id = \"\": the key is missing"));
  CHECK_THAT(faults, Catch::Contains("[platform] address"));
  CHECK_THAT(faults, Catch::Contains("[admin] token_file"));
}

// Guards against an entry that counts majorities over another membership.
TEST_CASE("membership faults are found") {
  std::string text = test::MinimalSettings();
  text.replace(text.find("entry-1 = "), 10, "entry-3 = ");
  CHECK_THAT(AllFaults(text), Catch::Contains("this entry has no member line"));
  const std::string repeated =
      With("[peers]\nentry-4 = 127.0.0.1:7002\nentry-5 = host:1\n");
  CHECK_THAT(AllFaults(repeated),
             Catch::Contains("the address is also that of entry-2"));
  CHECK_THAT(AllFaults(repeated),
             Catch::Contains("the member's address is not valid"));
}

// Guards against peer messages and tokens that cross a network unprotected
// without the operator's word.
TEST_CASE("plaintext beyond the loopback interface must be allowed") {
  const std::string remote = With("[peers]\nentry-3 = 10.0.0.3:7001\n");
  CHECK_THAT(AllFaults(remote), Catch::Contains("no CURVE keys"));
  CHECK(AllFaults(remote + "[peer_security]\n"
                           "allow_plaintext_beyond_loopback = true\n")
            .empty());
  CHECK(AllFaults(remote + "[peer_security]\nsecret_key_file = /s\n"
                           "member_keys_file = /m\n")
            .empty());
  CHECK_THAT(AllFaults(With("[entry]\nadmin_listen = 0.0.0.0:8101\n")),
             Catch::Contains("tokens would cross the network"));
}

// Guards against times with which one lost message stops the service.
TEST_CASE("times that contradict each other are faults") {
  CHECK_THAT(AllFaults(With("[freshness]\nlimit = 500ms\n")),
             Catch::Contains("[freshness] poll = \"500ms\""));
  CHECK_THAT(AllFaults(With("[lease]\nrenew = 2s\n")),
             Catch::Contains("[lease] renew"));
  CHECK_THAT(AllFaults(With("[limits]\ngraceful_stop = 10s\n")),
             Catch::Contains("interrupt requests in flight"));
}

// Guards against example files that a first-time operator cannot start with.
TEST_CASE("the example files are valid") {
  for (const char* name : {"kootenay-entry-1.ini", "split-entry-1.ini"}) {
    const auto result = LoadSettings(
        test::SourceFile(std::string("packaging/examples/") + name));
    INFO(name);
    CHECK(std::holds_alternative<DaemonSettings>(result));
  }
}

// Guards against a crash or an unreported fault on arbitrary text.
TEST_CASE("arbitrary settings text gives settings or faults") {
  const bool holds = rc::check([](const std::string& noise, bool keep_minimal) {
    const std::string text =
        (keep_minimal ? test::MinimalSettings() : "") + noise;
    const auto result = ParseSettings("test.ini", text);
    const auto* faults = std::get_if<std::vector<SettingsFault>>(&result);
    const bool is_reported = faults == nullptr || !faults->empty();
    RC_ASSERT(is_reported);
  });
  CHECK(holds);
}

// Guards against a value that is accepted although it is out of range.
TEST_CASE("an accepted lease duration is within its range") {
  const bool holds = rc::check([] {
    const auto number = *rc::gen::arbitrary<std::int64_t>();
    const auto unit = *rc::gen::element<std::string>("ms", "s", "min", "h", "");
    const auto result = ParseSettings(
        "test.ini", With("[lease]\nduration = " + std::to_string(number) +
                         unit + "\nrenew = 100ms\nmargin = 50ms\n"));
    if (const auto* settings = std::get_if<DaemonSettings>(&result)) {
      RC_ASSERT(settings->lease.duration >= 500ms);
      RC_ASSERT(settings->lease.duration <= 60s);
    }
  });
  CHECK(holds);
}

}  // namespace fireflythread
