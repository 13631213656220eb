#include "fireflythread/relay/io_order_relay.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/relay/io_order_codec.h"
#include "fireflythread/relay/io_relay_links.h"
#include "test/fireflythread/relay/fake_workers.h"
#include "test/fireflythread/relay/run_until.h"

namespace fireflythread::test {
namespace {

auto Ignore(const peer::Envelope& /*envelope*/) -> void {}

/// A relay peer, and an owner whose messages the test sends itself.
struct RelayFixture {
  RelayFixture() {
    RelayLinks::Handlers relay_peer_handlers{
        [this](const auto& envelope) { this->relay.HandleHello(envelope); },
        Ignore,
        [this](const auto& envelope) { this->relay.HandleOrders(envelope); },
        Ignore};
    REQUIRE(this->relay_peer.Open("127.0.0.1:0", relay_peer_handlers) ==
            std::nullopt);
    RelayLinks::Handlers owner_handlers{
        Ignore, [this](const auto&) { ++this->welcomes; }, Ignore,
        [this](const peer::Envelope& envelope) {
          this->busy_batches += envelope.order_reply_batch().busy() ? 1 : 0;
          for (const auto& answer : envelope.order_reply_batch().answers()) {
            this->answers.push_back(answer);
          }
        }};
    REQUIRE(this->owner.Open("127.0.0.1:0", owner_handlers) == std::nullopt);
    this->owner.Connect(RelayLinks::Role::kRelayPeer, EntryId("h"),
                        this->relay_peer.Address());
  }

  auto SendHello() -> void {
    peer::Envelope hello;
    hello.mutable_relay_hello()->set_address(this->owner.Address());
    this->owner.Send(EntryId("h"), std::move(hello));
  }

  auto WaitForWelcome() -> void {
    REQUIRE(RunUntil([this] { return this->welcomes > 0; },
                     [this] { this->SendHello(); }));
  }

  auto SendBatch(std::uint64_t batch, std::uint64_t order, Duration timeout)
      -> void {
    peer::Envelope envelope;
    envelope.mutable_order_batch()->set_number(batch);
    peer::RelayedOrder& message = *envelope.mutable_order_batch()->add_orders();
    EncodeOrder({StopCommand{}, timeout}, message);
    message.set_number(order);
    REQUIRE(this->owner.Send(EntryId("h"), std::move(envelope)));
  }

  FakeWorkers workers;
  RelayLinks relay_peer{EntryId("h"), 1};
  RelayLinks owner{EntryId("o"), 2};
  OrderRelay relay{this->relay_peer, this->workers};
  int welcomes = 0;
  int busy_batches = 0;
  std::vector<peer::RelayedAnswer> answers;
};

constexpr Duration kLongTimeout = std::chrono::seconds(60);

}  // namespace

// Guards against an order that is performed after its owner has given it up.
TEST_CASE("A relay peer returns an order that has timed out", "[relay]") {
  RelayFixture fixture;
  fixture.WaitForWelcome();
  fixture.SendBatch(1, 11, Duration(0));
  REQUIRE(RunUntil([&] { return fixture.answers.size() == 1; }));
  CHECK(fixture.answers[0].number() == 11);
  CHECK(fixture.answers[0].not_performed());
  CHECK(fixture.busy_batches == 1);
  CHECK(fixture.workers.called.empty());
}

// Guards against an order that waited in the socket of a paused process and is
// carried out after its owner has given it up.
TEST_CASE("A relay peer returns an order that was under way for too long",
          "[relay]") {
  RelayFixture fixture;
  fixture.WaitForWelcome();
  const auto send_batch = [&](std::uint64_t number, TimePoint sent_at) {
    peer::Envelope envelope;
    peer::OrderBatch& batch = *envelope.mutable_order_batch();
    batch.set_number(number);
    batch.set_sent_at_ns(sent_at.time_since_epoch().count());
    EncodeOrder({StopCommand{}, std::chrono::seconds(30)}, *batch.add_orders());
    batch.mutable_orders(0)->set_number(number);
    REQUIRE(fixture.owner.Send(EntryId("h"), std::move(envelope)));
  };
  const TimePoint now = ReadBootClock();
  send_batch(1, now);
  REQUIRE(RunUntil([&] { return fixture.answers.size() == 1; },
                   [&] { fixture.workers.AnswerAll(); }));
  CHECK_FALSE(fixture.answers[0].not_performed());
  send_batch(2, now - std::chrono::seconds(60));
  REQUIRE(RunUntil([&] { return fixture.answers.size() == 2; },
                   [&] { fixture.workers.AnswerAll(); }));
  CHECK(fixture.answers[1].not_performed());
  CHECK(fixture.workers.called.size() == 1);
}

// Guards against an order that is performed twice because its batch is
// delivered twice.
TEST_CASE("A relay peer performs a batch once", "[relay]") {
  RelayFixture fixture;
  fixture.WaitForWelcome();
  fixture.SendBatch(2, 12, kLongTimeout);
  fixture.SendBatch(2, 12, kLongTimeout);
  fixture.SendBatch(1, 11, kLongTimeout);
  fixture.SendBatch(3, 13, kLongTimeout);
  REQUIRE(RunUntil([&] { return fixture.answers.size() == 2; },
                   [&] { fixture.workers.AnswerAll(); }));
  CHECK(fixture.workers.called.size() == 2);
  CHECK(fixture.answers[0].number() == 12);
  CHECK(fixture.answers[1].number() == 13);
  CHECK(fixture.busy_batches == 0);
}

// Guards against an order of a newer version that the owner considers
// performed.
TEST_CASE("A relay peer returns an order that it cannot decode", "[relay]") {
  RelayFixture fixture;
  fixture.WaitForWelcome();
  peer::Envelope envelope;
  envelope.mutable_order_batch()->set_number(1);
  envelope.mutable_order_batch()->add_orders()->set_number(11);
  REQUIRE(fixture.owner.Send(EntryId("h"), std::move(envelope)));
  REQUIRE(RunUntil([&] { return fixture.answers.size() == 1; }));
  CHECK(fixture.answers[0].not_performed());
  CHECK(fixture.busy_batches == 0);
  CHECK(fixture.workers.called.empty());
}

}  // namespace fireflythread::test
