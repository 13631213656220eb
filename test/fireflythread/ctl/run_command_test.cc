#include "fireflythread/ctl/run_command.h"

#include <catch2/catch.hpp>

#include <algorithm>

#include "fireflythread/ctl/read_token.h"
#include "fireflythread/ctl/verb.h"
#include "test/fireflythread/ctl/handler_api.h"

namespace fireflythread::ctl {
namespace {

using Catch::Contains;

struct CtlFixture {
  auto Run(const std::vector<std::string>& words) -> ExitCode {
    this->output = Output();
    return RunCommand(words, this->options, false, this->api, this->output);
  }

  test::HandlerApi api;
  Options options;
  Output output;
};

}  // namespace

// Guards against an operator's edit lost without a word.
TEST_CASE("a conflict shows both versions and changes nothing") {
  CtlFixture fixture;
  CHECK(fixture.Run({"profile", "set", "a", "priority=1"}) == ExitCode::kOk);
  CHECK_THAT(fixture.output.out, Contains("a version 11"));
  // Another operator edits between this one's read and write.
  fixture.api.after_call = [&](const ApiRequest& request) {
    if (request.method == "GET") {
      auto& object = fixture.api.backend.objects.begin()->second;
      object.version = 99;
      object.body = R"({"name":"a","priority":7})";
    }
  };
  CHECK(fixture.Run({"profile", "set", "a", "priority=5"}) ==
        ExitCode::kConflict);
  CHECK_THAT(fixture.output.err, Contains("YOURS (from version 11)") &&
                                     Contains("CURRENT (version 99)"));
  CHECK_THAT(fixture.output.err, Contains("priority  5"));
  CHECK(fixture.api.backend.objects.begin()->second.version == 99);
}

// Guards against a script that goes on before its edit is in force.
TEST_CASE("--wait waits for acceptance or says that it did not come") {
  CtlFixture fixture;
  fixture.api.backend.accepts = false;
  CHECK(fixture.Run({"team", "set", "t", "weight=2"}) == ExitCode::kOk);
  CHECK_THAT(fixture.output.out, Contains("pending"));
  fixture.options.wait = true;
  CHECK(fixture.Run({"team", "set", "t", "weight=3"}) == ExitCode::kOk);
  CHECK_THAT(fixture.output.out, Contains("accepted"));
  CHECK(fixture.Run({"config", "wait", "12"}) == ExitCode::kOk);
  CHECK(fixture.Run({"config", "wait", "13"}) == ExitCode::kNotAcceptedInTime);
  CHECK_THAT(fixture.output.err, Contains("entry-2"));
}

// Guards against exit codes that scripts cannot rely on.
TEST_CASE("failures have their own exit codes") {
  CtlFixture fixture;
  CHECK(fixture.Run({}) == ExitCode::kUsage);
  CHECK(fixture.Run({"profile", "shwo", "a"}) == ExitCode::kUsage);
  CHECK_THAT(fixture.output.err, Contains("profile show NAME"));
  CHECK(fixture.Run({"profile", "set", "a"}) == ExitCode::kUsage);
  CHECK(fixture.Run({"profile", "set", "a", "=1"}) == ExitCode::kUsage);
  CHECK(fixture.Run({"maintenance", "declare"}) == ExitCode::kUsage);
  CHECK(fixture.Run({"history", "profile"}) == ExitCode::kUsage);
  CHECK(fixture.Run({"config", "wait", "x"}) == ExitCode::kUsage);
  CHECK(fixture.Run({"vm", "show", "none"}) == ExitCode::kNotFound);
  CHECK(fixture.Run({"profile", "delete", "none"}) == ExitCode::kNotFound);
  fixture.api.backend.edit_error = admin::AdminError{
      admin::AdminError::Kind::kInvalid, "not valid", {"headroom: at most 4"}};
  CHECK(fixture.Run({"profile", "set", "a", "headroom=9"}) ==
        ExitCode::kFailed);
  CHECK_THAT(fixture.output.err, Contains("headroom: at most 4"));
  fixture.api.token = "wrong";
  CHECK(fixture.Run({"status"}) == ExitCode::kUnauthorized);
}

// Guards against an order that names other VMs than the flags.
TEST_CASE("maintenance declare sends the selectors and waits for the end") {
  CtlFixture fixture;
  fixture.options.rack = "r1,r2";
  fixture.options.vm = "vm-7";
  fixture.options.dry_run = true;
  CHECK(fixture.Run({"maintenance", "declare"}) == ExitCode::kOk);
  CHECK_THAT(fixture.output.out,
             Contains("planned") && Contains("racks=r1,r2 vms=vm-7"));
  CHECK(fixture.api.backend.declared.at(0).dry_run);
  fixture.options.dry_run = false;
  fixture.options.wait = true;
  int polls = 0;
  fixture.api.on_sleep = [&] {
    if (++polls == 3) {
      fixture.api.backend.wave_state = admin::WaveState::kDone;
    }
  };
  CHECK(fixture.Run({"maintenance", "declare"}) == ExitCode::kOk);
  CHECK(polls == 3);
  fixture.api.backend.wave_state = admin::WaveState::kRunning;
  CHECK(fixture.Run({"maintenance", "declare"}) ==
        ExitCode::kNotAcceptedInTime);
}

// Guards against verbs whose help is missing.
TEST_CASE("every verb has a help") {
  CtlFixture fixture;
  for (const Verb& verb : Verbs()) {
    Output output;
    std::vector<std::string> words{std::string(verb.group)};
    if (!verb.action.empty()) {
      words.emplace_back(verb.action);
    }
    CHECK(RunCommand(words, {}, true, fixture.api, output) == ExitCode::kOk);
    CHECK_THAT(output.out, Contains(std::string(verb.summary)));
  }
}

// Guards against an overview that does not fit one screen on a bad day.
TEST_CASE("status fits one screen and shows what is blocked") {
  CtlFixture fixture;
  admin::FleetStatus& status = fixture.api.backend.status;
  for (int i = 0; i < 8; ++i) {
    admin::EntryStatus entry;
    entry.id = EntryId("entry-" + std::to_string(i));
    status.entries.push_back(entry);
  }
  for (int i = 0; i < 41; ++i) {
    admin::PoolStatus pool;
    pool.name = PoolName("pool-" + std::to_string(i));
    pool.headroom = i;
    status.pools.push_back(pool);
    admin::WaveStatus wave;
    wave.id = WaveId("wave-" + std::to_string(i));
    wave.blocked.push_back({VmId("vm-1"), "budget " + std::to_string(i)});
    wave.blocked.push_back({VmId("vm-\x1b[31m"), "budget 0"});
    status.waves.push_back(wave);
  }
  CHECK(fixture.Run({"status"}) == ExitCode::kOk);
  const std::string& text = fixture.output.out;
  CHECK(std::count(text.begin(), text.end(), '\n') <= 50);
  CHECK_THAT(text, Contains("nobody is known to hold the lease"));
  CHECK_THAT(text, Contains("pool-0") && Contains("and 29 pools"));
  CHECK_THAT(text, Contains("budget 0") && Contains("further reasons"));
  CHECK(text.find('\x1b') == std::string::npos);
}

// Guards against a trace that hides which hop took the time, and against spans
// that name each other as parent.
TEST_CASE("a trace is shown as a tree") {
  CtlFixture fixture;
  const std::string trace_id = "4bf92f3577b34da6a3ce929d0e0e4736";
  const auto add = [&](const std::string& id, const std::string& parent,
                       int begin_ms) {
    Span span;
    span.trace_id = trace_id;
    span.span_id = id;
    span.parent_span_id = parent;
    span.name = "span-" + id;
    span.start = WallTime(std::chrono::milliseconds(begin_ms));
    span.end = span.start + std::chrono::milliseconds(5);
    fixture.api.backend.spans.push_back(span);
  };
  add("b", "a", 12);
  add("a", "", 10);
  add("c", "b", 13);
  add("x", "y", 20);
  add("y", "x", 21);
  fixture.api.backend.silent = {EntryId("entry-7")};
  CHECK(fixture.Run({"trace", "show", trace_id}) == ExitCode::kOk);
  CHECK_THAT(fixture.output.out, Contains("\nspan-a ") &&
                                     Contains("\n  span-b ") &&
                                     Contains("\n    span-c "));
  CHECK_THAT(fixture.output.out, Contains("span-x") && Contains("span-y"));
  CHECK_THAT(fixture.output.out, Contains("entry-7 did not answer"));
}

// Guards against a token file of the server that the program cannot use.
TEST_CASE("a token is read from both kinds of file") {
  CHECK(ReadToken("0123456789abcdef\n") == "0123456789abcdef");
  CHECK(ReadToken("# x\n\n edit ada 0123456789abcdef \n") ==
        "0123456789abcdef");
  CHECK(ReadToken("# only\n").empty());
}

}  // namespace fireflythread::ctl
