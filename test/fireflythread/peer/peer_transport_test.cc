#include "fireflythread/peer/peer_transport.h"

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <zmq.hpp>

#include "fireflythread/base/io_clock.h"

namespace fireflythread {

namespace {

/// How long an event may take before a test fails. Only a failing test waits
/// for all of it.
constexpr Duration kPatience = std::chrono::seconds(20);

struct KeyPair {
  std::array<char, 41> public_key{};
  std::array<char, 41> secret_key{};
};

auto MakeKeys() -> KeyPair {
  KeyPair keys;
  REQUIRE(zmq_curve_keypair(keys.public_key.data(), keys.secret_key.data()) ==
          0);
  return keys;
}

/// One end of a connection, on a free port, that counts what it receives.
struct End {
  explicit End(const char* name,
               std::map<EntryId, std::string> peers = {},
               std::optional<CurveKeys> keys = std::nullopt,
               const std::string& address = "127.0.0.1:0") {
    PeerTransportSettings settings;
    settings.self = EntryId(name);
    settings.incarnation = 42;
    settings.listen_address = address;
    settings.peers = std::move(peers);
    settings.keys = std::move(keys);
    settings.rebuild_after = std::chrono::milliseconds(300);
    auto result = PeerTransport::Open(settings, nullptr,
                                      [this](const peer::Envelope& envelope) {
                                        ++this->received;
                                        this->last = envelope;
                                      });
    REQUIRE(std::holds_alternative<std::unique_ptr<PeerTransport>>(result));
    this->transport =
        std::move(std::get<std::unique_ptr<PeerTransport>>(result));
  }

  [[nodiscard]] auto Address() const -> std::string {
    return this->transport->ListenAddress();
  }

  std::unique_ptr<PeerTransport> transport;
  int received = 0;
  peer::Envelope last;
};

/// Runs the main loop, and `action` each 20 ms, until `done`.
auto RunUntil(const std::function<bool()>& done,
              const std::function<void()>& action) -> bool {
  const TimePoint end = ReadBootClock() + kPatience;
  const guint tick = g_timeout_add(
      20, [](gpointer) -> gboolean { return G_SOURCE_CONTINUE; }, nullptr);
  while (!done() && ReadBootClock() < end) {
    action();
    g_main_context_iteration(nullptr, TRUE);
  }
  g_source_remove(tick);
  return done();
}

auto PingOf(std::uint64_t round) -> peer::Envelope {
  peer::Envelope envelope;
  envelope.mutable_ping()->set_round(round);
  return envelope;
}

auto KeysOf(const KeyPair& own, const char* peer, const KeyPair& other)
    -> CurveKeys {
  return {.public_key = own.public_key.data(),
          .secret_key = own.secret_key.data(),
          .peer_public_keys = {{EntryId(peer), other.public_key.data()}}};
}

}  // namespace

// Guards against a peer that restarts at another address and is never reached
// again, and against messages without their sender's incarnation.
TEST_CASE("peers exchange messages and follow a changed address") {
  End first("a", {{EntryId("b"), "127.0.0.1:1"}});
  auto second = std::make_unique<End>(
      "b", std::map<EntryId, std::string>{{EntryId("a"), first.Address()}});
  const auto send = [&] { first.transport->Send(EntryId("b"), PingOf(7)); };
  first.transport->SetPeerAddress(EntryId("b"), second->Address());
  REQUIRE(RunUntil([&] { return second->received > 0; }, send));
  CHECK(second->last.sender() == "a");
  CHECK(second->last.incarnation() == 42);
  CHECK(second->last.ping().round() == 7);
  REQUIRE(RunUntil([&] { return first.received > 0; },
                   [&] { second->transport->Broadcast(PingOf(8)); }));

  second = std::make_unique<End>(
      "b", std::map<EntryId, std::string>{{EntryId("a"), first.Address()}});
  first.transport->SetPeerAddress(EntryId("b"), second->Address());
  CHECK(RunUntil([&] { return second->received > 0; }, send));
}

// Guards against a connection to a peer that went silent being kept for ever.
TEST_CASE("a silent peer gets a new socket") {
  End first("a", {{EntryId("b"), "127.0.0.1:1"}});
  CHECK(RunUntil(
      [&] { return first.transport->Counters().rebuilt_sockets > 1; }, [] {}));
}

// Guards against a stranger's or a damaged message that stops an entry or is
// taken for a peer's.
TEST_CASE("malformed messages and strangers are counted and left out") {
  End end("a", {{EntryId("b"), "127.0.0.1:1"}});
  zmq::context_t context;
  zmq::socket_t stranger(context, zmq::socket_type::dealer);
  stranger.set(zmq::sockopt::linger, 0);
  stranger.connect("tcp://" + end.Address());
  peer::Envelope envelope = PingOf(1);
  envelope.set_sender("z");
  stranger.send(zmq::str_buffer("\xff\xff\xff"), zmq::send_flags::none);
  stranger.send(zmq::message_t(), zmq::send_flags::none);
  stranger.send(zmq::str_buffer("two"), zmq::send_flags::sndmore);
  stranger.send(zmq::str_buffer("frames"), zmq::send_flags::none);
  stranger.send(zmq::buffer(envelope.SerializeAsString()),
                zmq::send_flags::none);
  const PeerCounters& counters = end.transport->Counters();
  CHECK(RunUntil([&] { return counters.unknown_sender == 1; }, [] {}));
  CHECK(counters.malformed == 3);
  CHECK(end.received == 0);
}

// Guards against an entry that accepts unauthenticated connections although
// keys are set, or a peer that speaks in another's name.
TEST_CASE("with keys only the peers connect and under their own name") {
  const KeyPair key_a = MakeKeys();
  const KeyPair key_b = MakeKeys();
  const KeyPair key_x = MakeKeys();
  End first("a", {{EntryId("b"), "127.0.0.1:1"}}, KeysOf(key_a, "b", key_b));
  const std::map<EntryId, std::string> to_first{
      {EntryId("a"), first.Address()}};
  const PeerCounters& counters = first.transport->Counters();

  End unknown_key("b", to_first, KeysOf(key_x, "a", key_a));
  CHECK(RunUntil([&] { return counters.refused_keys > 0; },
                 [&] { unknown_key.transport->Broadcast(PingOf(1)); }));
  End wrong_name("c", to_first, KeysOf(key_b, "a", key_a));
  CHECK(RunUntil([&] { return counters.unknown_sender > 0; },
                 [&] { wrong_name.transport->Broadcast(PingOf(1)); }));
  CHECK(first.received == 0);
  End peer_b("b", to_first, KeysOf(key_b, "a", key_a));
  CHECK(RunUntil([&] { return first.received > 0; },
                 [&] { peer_b.transport->Broadcast(PingOf(1)); }));
}

// Guards against a daemon that takes hellos of strangers without its setting,
// and against a helper that takes anything else of a stranger.
TEST_CASE("a stranger's hello is admitted by setting only") {
  const bool admits = GENERATE(false, true);
  PeerTransportSettings settings;
  settings.self = EntryId("a");
  settings.listen_address = "127.0.0.1:0";
  settings.admit_relay_hellos = admits;
  int hellos = 0;
  int others = 0;
  const auto opened = PeerTransport::Open(
      settings, nullptr, [&](const peer::Envelope& envelope) {
        ++(envelope.has_relay_hello() ? hellos : others);
      });
  const auto& transport = *std::get<std::unique_ptr<PeerTransport>>(opened);
  End stranger("z", {{EntryId("a"), transport.ListenAddress()}});
  peer::Envelope hello;
  hello.mutable_relay_hello()->set_address("127.0.0.1:1");
  const PeerCounters& counters = transport.Counters();
  CHECK(RunUntil(
      [&] {
        return counters.unknown_sender > 0 &&
               counters.unknown_sender + counters.received > 4;
      },
      [&] {
        stranger.transport->Send(EntryId("a"), hello);
        stranger.transport->Send(EntryId("a"), PingOf(1));
      }));
  CHECK((hellos > 0) == admits);
  CHECK(others == 0);
}

// Guards against messages of a peer that was removed.
TEST_CASE("a removed peer is a stranger") {
  End first("a");
  End second("b", {{EntryId("a"), first.Address()}});
  first.transport->SetPeerAddress(EntryId("b"), second.Address());
  const auto send = [&] { second.transport->Broadcast(PingOf(1)); };
  REQUIRE(RunUntil([&] { return first.received > 0; }, send));
  first.transport->RemovePeer(EntryId("b"));
  const int received = first.received;
  CHECK(RunUntil([&] { return first.transport->Counters().unknown_sender > 0; },
                 send));
  CHECK(first.received == received);
  CHECK_FALSE(first.transport->Send(EntryId("b"), PingOf(2)));
}

// Guards against an entry that listens to the whole network without keys.
TEST_CASE("without keys the transport listens on loopback only") {
  PeerTransportSettings settings;
  settings.self = EntryId("a");
  for (const char* address : {"0.0.0.0:0", "192.0.2.1:7401", "[::]:7401",
                              "*:7401", "localhost.example:1", ""}) {
    INFO(address);
    settings.listen_address = address;
    CHECK(CheckPeerSettings(settings).size() == 1);
    CHECK(std::holds_alternative<PeerTransport::OpenError>(
        PeerTransport::Open(settings, nullptr, [](const auto&) {})));
  }
  settings.listen_address = "[::1]:7401";
  CHECK(CheckPeerSettings(settings).empty());
  settings.listen_address = "0.0.0.0:7401";
  settings.allow_plaintext_beyond_loopback = true;
  CHECK(CheckPeerSettings(settings).empty());
  settings.keys = CurveKeys{
      .public_key = "short", .secret_key = "", .peer_public_keys = {}};
  settings.peers = {{EntryId("b"), "127.0.0.1:1"}};
  CHECK(CheckPeerSettings(settings).size() == 2);
}

}  // namespace fireflythread
