#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>
#include <zmq.hpp>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/membership/freshness.h"
#include "fireflythread/membership/membership.h"
#include "fireflythread/membership/ping.h"
#include "fireflythread/membership/recovery.h"
#include "fireflythread/peer/envelope_codec.h"
#include "fireflythread/peer/peer_transport.h"
#include "fireflythread/peer/state_codec.h"

namespace fireflythread {

namespace {

auto ValidEnvelope() -> peer::Envelope {
  peer::Envelope envelope;
  envelope.set_sender("b");
  envelope.set_incarnation(5);
  peer::SnapshotReply* reply = envelope.mutable_snapshot_reply();
  reply->set_round(1000);
  reply->set_config_version(3);
  *reply->add_rows() = ToMessage(Row{"config", "head", 9, "3"});
  *reply->add_rows() = ToMessage(Row{"config", "profile/p", 9, "{}"});
  return envelope;
}

/// Random bytes, or a valid message with bytes changed, cut or added.
auto MessageBytes() -> std::string {
  if (*rc::gen::arbitrary<bool>()) {
    return *rc::gen::arbitrary<std::string>();
  }
  std::string bytes = ValidEnvelope().SerializeAsString();
  const auto changes = *rc::gen::inRange(1, 6);
  for (int change = 0; change < changes && !bytes.empty(); ++change) {
    const auto position = *rc::gen::inRange<std::size_t>(0, bytes.size());
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        bytes[position] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        bytes.resize(position);
        break;
      default:
        bytes.insert(position, *rc::gen::arbitrary<std::string>());
        break;
    }
  }
  return bytes;
}

}  // namespace

// Guards against a damaged or forged message that stops an entry, makes it
// serve without a confirmation or makes it recover from a single peer.
TEST_CASE("no message of one peer confirms or recovers an entry") {
  CHECK(rc::check([] {
    Membership membership = MakeMembership(
        EntryId("a"), 1000, {EntryId("a"), EntryId("b"), EntryId("c")});
    (void)StartRecovery(membership);
    (void)StartPingRound(membership, TimePoint());
    for (int message = 0; message < 5; ++message) {
      const auto envelope = ParseEnvelope(MessageBytes());
      if (!envelope) {
        continue;
      }
      const EntryId sender(envelope->sender());
      (void)TakePong(membership, sender, envelope->incarnation(),
                     FromMessage(envelope->pong()));
      (void)TakeOffer(membership, EntryId("b"),
                      FromMessage(envelope->snapshot_reply()));
      (void)FromMessage(envelope->state_push());
      (void)AnswerPing(membership, FromMessage(envelope->ping()));
    }
    RC_ASSERT(!RecoveredByQuorum(membership));
    RC_ASSERT(!ConfirmedUntil(membership, std::chrono::seconds(2)));
  }));
}

// Guards against malformed messages that are lost without a trace or that stop
// the receiving of later ones.
TEST_CASE("every malformed message is counted and a valid one still arrives") {
  PeerTransportSettings settings;
  settings.self = EntryId("a");
  settings.listen_address = "127.0.0.1:0";
  settings.peers = {{EntryId("b"), "127.0.0.1:1"}};
  settings.high_water_mark = 10000;
  std::uint64_t finished = 0;
  auto opened = PeerTransport::Open(
      settings, nullptr, [&](const peer::Envelope& envelope) {
        finished += envelope.has_report_request() ? 1 : 0;
      });
  REQUIRE(std::holds_alternative<std::unique_ptr<PeerTransport>>(opened));
  const auto& transport = std::get<std::unique_ptr<PeerTransport>>(opened);
  zmq::context_t context;
  zmq::socket_t sender(context, zmq::socket_type::dealer);
  sender.set(zmq::sockopt::linger, 0);
  sender.set(zmq::sockopt::sndhwm, settings.high_water_mark);
  sender.connect("tcp://" + transport->ListenAddress());
  std::uint64_t sent = 0;
  CHECK(rc::check([&] {
    sender.send(zmq::buffer(MessageBytes()), zmq::send_flags::none);
    ++sent;
  }));
  peer::Envelope last;
  last.set_sender("b");
  last.mutable_report_request();
  sender.send(zmq::buffer(last.SerializeAsString()), zmq::send_flags::none);
  const TimePoint end = ReadBootClock() + std::chrono::seconds(20);
  while (finished == 0 && ReadBootClock() < end) {
    g_main_context_iteration(nullptr, TRUE);
  }
  CHECK(finished > 0);
  const PeerCounters& counters = transport->Counters();
  CHECK(counters.malformed > 0);
  CHECK(counters.malformed + counters.unknown_sender + counters.received ==
        sent + 1);
}

// Guards against rows that change on their way between entries.
TEST_CASE("rows and versions survive the messages between entries") {
  CHECK(rc::check([](const std::string& table, const std::string& key,
                     const std::string& value, std::uint64_t version) {
    // Protobuf strings hold UTF-8; table and key are chosen by this project.
    const Row row{"t" + std::to_string(table.size()),
                  "k" + std::to_string(key.size()), version, value};
    const auto back = FromMessage(ToMessage(row));
    RC_ASSERT(back.has_value() == (version != 0));
    RC_ASSERT(!back || *back == row);
  }));
  ConfigChange change;
  change.from_version = 4;
  change.rows = {{"config", "head", 9, "5"}};
  change.deleted = {"profile/old"};
  const auto push = FromMessage(ToMessage(change, 5));
  REQUIRE(push);
  CHECK(push->from_version == 4U);
  CHECK(push->rows == change.rows);
  CHECK(push->deleted == change.deleted);
}

}  // namespace fireflythread
