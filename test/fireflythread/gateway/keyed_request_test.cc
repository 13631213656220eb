#include <catch2/catch.hpp>

#include "fireflythread/gateway/answer_check.h"
#include "fireflythread/retry/idempotency_record.h"
#include "fireflythread/retry/record_steps.h"
#include "test/fireflythread/gateway/gateway_fixture.h"

namespace fireflythread {

namespace {

using Reply = TestBackend::Reply;

const GatewayFixture::Headers kKey = {{"Idempotency-Key", "k1"}};

auto StateOf(FakePlatform& platform) -> std::optional<RecordState> {
  const Row* row = platform.Find("request", "orders/k1");
  const auto record = row == nullptr ? std::nullopt : DecodeRecord(row->value);
  return record ? std::optional(record->state) : std::nullopt;
}

/// Writes a record of the request as another entry would.
auto WriteClaim(FakePlatform& platform, RecordState state) -> void {
  IdempotencyRecord record;
  record.nonce = "other-1";
  record.entry = EntryId("entry-other");
  record.state = state;
  record.fingerprint = Sha256Base64("POST /cut\n");
  record.claimed_at = std::chrono::system_clock::now();
  const Row* row = platform.Find("request", "orders/k1");
  platform.Apply(RecordTransaction("orders/k1", record,
                                   row == nullptr ? 0 : row->version));
}

}  // namespace

// Guards against an order cut twice because its caller repeated it, through
// this or another entry, and against a repeat that gets another answer.
TEST_CASE("a repeat gets the recorded answer and does not run") {
  int runs = 0;
  TestBackend backend([&](const std::string&) {
    const std::string body(++runs == 1 ? 100 : 1, 'a');
    return Reply{OkReply(body)};
  });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  const CallerAnswer first =
      fixture.Call("POST", "/s/orders/cut", kKey, "sheet 7");
  REQUIRE(first.status == 200);
  REQUIRE(GatewayFixture::WaitFor(
      [&] { return StateOf(fixture.platform) == RecordState::kAnswered; }));

  GatewayFixture other;
  other.AddWorker("vm-1", backend.Address());
  other.platform.rows = fixture.platform.rows;
  for (GatewayFixture* entry : {&fixture, &other}) {
    const CallerAnswer repeat =
        entry->Call("POST", "/s/orders/cut", kKey, "sheet 7");
    CHECK(repeat.status == 200);
    CHECK(repeat.body == first.body);
    const CallerAnswer reused =
        entry->Call("POST", "/s/orders/cut", kKey, "sheet 8");
    CHECK(reused.status == 422);
    CHECK(reused.outcome == "not-run");
  }
  CHECK(runs == 1);
}

// Guards against a large answer that does not fit into a row.
TEST_CASE("a large answer is kept in the object store") {
  TestBackend backend([](const std::string&) {
    return Reply{OkReply(std::string(100000, 'z'))};
  });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  REQUIRE(fixture.Call("POST", "/s/orders/cut", kKey).status == 200);
  REQUIRE(GatewayFixture::WaitFor(
      [&] { return StateOf(fixture.platform) == RecordState::kAnswered; }));
  CHECK(fixture.platform.objects.size() == 1);
  CHECK(fixture.Call("POST", "/s/orders/cut", kKey).body.size() == 100000);
  CHECK(backend.requests.size() == 1);
}

// Guards against a send whose key is not recorded, while the store refuses,
// and after a write of which nothing is known.
TEST_CASE("nothing is sent unless the key is recorded") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  fixture.platform.mode =
      GENERATE(FakePlatform::Mode::kRefusing, FakePlatform::Mode::kSilent);
  const CallerAnswer answer = fixture.Call("POST", "/s/orders/cut", kKey);
  CHECK(answer.status == 503);
  CHECK(answer.outcome == "not-run");
  CHECK(answer.reason == "key-not-recorded");
  CHECK(backend.requests.empty());

  const bool silent = fixture.platform.mode == FakePlatform::Mode::kSilent;
  fixture.platform.mode = FakePlatform::Mode::kAvailable;
  if (silent) {
    // The claim's record is closed later, so that a late arrival conflicts.
    CHECK(GatewayFixture::WaitFor(
        [&] { return StateOf(fixture.platform) == RecordState::kNotRun; }));
  }
  CHECK(fixture.Call("POST", "/s/orders/cut", kKey).status == 200);
  CHECK(backend.requests.size() == 1);
}

// Guards against an accepted request that is lost, or run twice, because the
// answer to the record's write was lost after the write took effect.
TEST_CASE("a claim whose answer was lost is read back") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  fixture.platform.mode = FakePlatform::Mode::kLosingAnswers;
  CHECK(fixture.Call("POST", "/s/orders/cut", kKey).status == 200);
  CHECK(backend.requests.size() == 1);
  CHECK(GatewayFixture::WaitFor(
      [&] { return StateOf(fixture.platform) == RecordState::kAnswered; }));
}

// Guards against a second run of a request whose first run may have happened.
TEST_CASE("an unknown attempt of a keyed request is final") {
  TestBackend backend([](const std::string&) { return Reply{"", true}; });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  CHECK(fixture.Call("POST", "/s/orders/cut", kKey).outcome == "unknown");
  REQUIRE(GatewayFixture::WaitFor(
      [&] { return StateOf(fixture.platform) == RecordState::kUnknown; }));
  CHECK(fixture.Call("POST", "/s/orders/cut", kKey).outcome == "unknown");
  CHECK(backend.requests.size() == 1);
}

// Guards against two requests with one key that run at the same time, and a
// refused request that can never be repeated.
TEST_CASE("one of two concurrent requests with a key runs") {
  bool refuse = true;
  TestBackend backend([&](const std::string&) {
    return refuse ? Reply{"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\n"
                          "Content-Length: 0\r\n\r\n"}
                  : Reply{OkReply("x")};
  });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  CHECK(fixture.Call("POST", "/s/orders/cut", kKey).outcome == "not-run");
  REQUIRE(GatewayFixture::WaitFor(
      [&] { return StateOf(fixture.platform) == RecordState::kNotRun; }));
  refuse = false;
  backend.requests.clear();
  const auto first = fixture.Begin("POST", "/s/orders/cut", kKey);
  const auto second = fixture.Begin("POST", "/s/orders/cut", kKey);
  REQUIRE(GatewayFixture::WaitFor(
      [&] { return first->has_value() && second->has_value(); }));
  CHECK((*first)->status == 200);
  CHECK((*second)->status == 200);
  CHECK((*second)->body == (*first)->body);
  CHECK(backend.requests.size() == 1);
}

// Guards against a repeat that waits beyond its deadline for an entry that is
// gone, also while the store is down, and against repeats without number that
// read the store.
TEST_CASE("a repeat stops waiting before its deadline or at the limit") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewaySettings settings;
  settings.max_waiting_repeats = GENERATE(1U, 0U);
  GatewayFixture fixture(settings);
  fixture.AddWorker("vm-1", backend.Address());
  WriteClaim(fixture.platform, RecordState::kClaimed);
  GatewayFixture::Headers headers = kKey;
  headers.emplace_back("Fireflythread-Deadline-Ms", "400");
  const auto repeat = fixture.Begin("POST", "/s/orders/cut", headers);
  REQUIRE(GatewayFixture::WaitFor(
      [&] { return fixture.platform.reads > 0 || repeat->has_value(); }));
  const auto excess = fixture.Begin("POST", "/s/orders/cut", headers);
  REQUIRE(GatewayFixture::WaitFor([&] { return excess->has_value(); }));
  CHECK(repeat->has_value() == (settings.max_waiting_repeats == 0));
  fixture.platform.mode = FakePlatform::Mode::kSilent;
  REQUIRE(GatewayFixture::WaitFor([&] { return repeat->has_value(); }));
  for (const auto& answer : {repeat, excess}) {
    CHECK((*answer)->status == 409);
    CHECK((*answer)->reason == "in-progress");
    CHECK((*answer)->outcome == "unknown");
  }
  CHECK(backend.requests.empty());
}

// Guards against a repeat that waits on, with its place and its team's quota,
// after its caller has left.
TEST_CASE("a repeat whose caller has left stops waiting") {
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", "127.0.0.1:9");
  WriteClaim(fixture.platform, RecordState::kClaimed);
  const std::string request =
      "POST /s/orders/cut HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
      "Idempotency-Key: k1\r\nFireflythread-Deadline-Ms: 30000\r\n\r\n";
  GSocketClient* client = g_socket_client_new();
  GSocketConnection* caller = g_socket_client_connect_to_host(
      client, "127.0.0.1", fixture.port, nullptr, nullptr);
  REQUIRE(caller != nullptr);
  REQUIRE(g_output_stream_write_all(
      g_io_stream_get_output_stream(G_IO_STREAM(caller)), request.data(),
      request.size(), nullptr, nullptr, nullptr));
  REQUIRE(GatewayFixture::WaitFor([&] { return fixture.platform.reads >= 2; }));
  g_object_unref(caller);
  g_object_unref(client);
  REQUIRE(GatewayFixture::WaitFor([&] { return !fixture.finished.empty(); }));
  CHECK(fixture.finished.front().reason == "in-progress");
  CHECK(fixture.finished.front().elapsed < std::chrono::seconds(29));
}

// Guards against a repeat that fails, also at an entry that stops, although the
// first request, at another entry, turned out not to have run, and against one
// that runs while it may.
TEST_CASE("a waiting repeat claims a record that turns to not run") {
  TestBackend backend([](const std::string&) { return Reply{OkReply("x")}; });
  GatewayFixture fixture;
  fixture.AddWorker("vm-1", backend.Address());
  WriteClaim(fixture.platform, RecordState::kClaimed);
  const auto repeat = fixture.Begin("POST", "/s/orders/cut", kKey);
  const auto second = fixture.Begin("POST", "/s/orders/cut", kKey);
  REQUIRE(GatewayFixture::WaitFor([&] { return fixture.platform.reads > 6; }));
  bool stopped = true;
  if (GENERATE(false, true)) {
    stopped = false;
    fixture.gateway->BeginShutdown([&stopped] { stopped = true; });
  }
  const int reads = fixture.platform.reads;
  REQUIRE(GatewayFixture::WaitFor(
      [&] { return fixture.platform.reads > reads + 4; }));
  CHECK(backend.requests.empty());
  WriteClaim(fixture.platform, RecordState::kNotRun);
  REQUIRE(GatewayFixture::WaitFor(
      [&] { return repeat->has_value() && second->has_value(); }));
  CHECK((*repeat)->status == 200);
  CHECK((*second)->status == 200);
  CHECK(backend.requests.size() == 1);
  CHECK(GatewayFixture::WaitFor([&] { return stopped; }));
}

}  // namespace fireflythread
