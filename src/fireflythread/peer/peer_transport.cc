#include "fireflythread/peer/peer_transport.h"

#include <fmt/format.h>

#include <chrono>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>
#include <zmq_addon.hpp>

#include "fireflythread/base/io_clock.h"
#include "fireflythread/peer/envelope_codec.h"
#include "fireflythread/peer/socket_options.h"

namespace fireflythread {

namespace {

constexpr const char* kZapDomain = "fireflythread";
/// Frames of a message at the ROUTER: the connection's name and the envelope.
constexpr std::size_t kFrames = 2;

/// The peer that the connection's key belongs to; empty without keys.
auto AuthenticatedPeer(zmq::message_t& payload) -> std::string_view {
  const char* user = zmq_msg_gets(payload.handle(), "User-Id");
  return user == nullptr ? std::string_view() : user;
}

auto Join(const std::vector<std::string>& problems) -> std::string {
  return fmt::format("{}", fmt::join(problems, "; "));
}

}  // namespace

auto PeerTransport::Open(PeerTransportSettings settings,
                         GMainContext* context,
                         Handler handler) -> OpenResult {
  const std::vector<std::string> problems = CheckPeerSettings(settings);
  if (!problems.empty()) {
    return OpenError{Join(problems)};
  }
  const std::string address = settings.listen_address;
  try {
    return std::unique_ptr<PeerTransport>(
        new PeerTransport(std::move(settings), context, std::move(handler)));
  } catch (const zmq::error_t& error) {
    return OpenError{fmt::format("cannot listen for peers at {}: {}", address,
                                 error.what())};
  }
}

PeerTransport::PeerTransport(PeerTransportSettings transport_settings,
                             GMainContext* context,
                             Handler message_handler)
    : settings(std::move(transport_settings)),
      handler(std::move(message_handler)),
      router(this->zmq_context, zmq::socket_type::router) {
  this->Listen(context);
  const TimePoint now = ReadBootClock();
  for (const auto& [peer, address] : this->settings.peers) {
    this->links.emplace(
        peer, std::make_unique<PeerLink>(this->zmq_context, this->settings,
                                         peer, address, now));
  }
  this->WatchSilence(context);
}

PeerTransport::~PeerTransport() {
  if (this->silence_check != nullptr) {
    g_source_destroy(this->silence_check);
    g_source_unref(this->silence_check);
  }
}

auto PeerTransport::Listen(GMainContext* context) -> void {
  internal::SetCommonOptions(this->router, this->settings,
                             this->settings.listen_address);
  if (this->settings.keys) {
    this->authenticator = std::make_unique<ZapAuthenticator>(
        this->zmq_context, context, *this->settings.keys,
        this->counters.refused_keys);
    this->router.set(zmq::sockopt::curve_server, true);
    this->router.set(zmq::sockopt::zap_domain, kZapDomain);
  }
  this->router.bind(internal::Endpoint(this->settings.listen_address));
  this->watch = std::make_unique<SocketWatch>(
      context, this->router, [this] { return this->ReceiveOne(); });
}

auto PeerTransport::WatchSilence(GMainContext* context) -> void {
  const auto period = std::chrono::duration_cast<std::chrono::milliseconds>(
      this->settings.rebuild_after / 2);
  this->silence_check =
      g_timeout_source_new(static_cast<guint>(period.count()));
  g_source_set_callback(this->silence_check, &PeerTransport::OnSilenceCheck,
                        this, nullptr);
  g_source_attach(this->silence_check, context);
}

auto PeerTransport::OnSilenceCheck(gpointer data) -> gboolean {
  auto* transport = static_cast<PeerTransport*>(data);
  const TimePoint now = ReadBootClock();
  for (const auto& [peer, link] : transport->links) {
    if (link->NeedsRebuild(transport->settings.rebuild_after, now)) {
      link->Rebuild(link->Address(), now);
      ++transport->counters.rebuilt_sockets;
    }
  }
  return G_SOURCE_CONTINUE;
}

auto PeerTransport::ReceiveOne() -> bool {
  std::vector<zmq::message_t> frames;
  const auto count = zmq::recv_multipart(
      this->router, std::back_inserter(frames), zmq::recv_flags::dontwait);
  if (!count) {
    return false;
  }
  if (frames.size() != kFrames) {
    ++this->counters.malformed;
    return true;
  }
  this->Deliver(frames.back());
  return true;
}

auto PeerTransport::Deliver(zmq::message_t& payload) -> void {
  const std::optional<peer::Envelope> envelope =
      ParseEnvelope(payload.to_string_view());
  if (!envelope) {
    ++this->counters.malformed;
    return;
  }
  const auto link = this->links.find(EntryId(envelope->sender()));
  if ((link == this->links.end() && !this->Admits(*envelope)) ||
      (this->settings.keys &&
       AuthenticatedPeer(payload) != envelope->sender())) {
    ++this->counters.unknown_sender;
    return;
  }
  ++this->counters.received;
  if (link != this->links.end()) {
    link->second->NoteHeard(ReadBootClock());
  }
  this->handler(*envelope);
}

auto PeerTransport::Admits(const peer::Envelope& envelope) const -> bool {
  return this->settings.admit_relay_hellos && envelope.has_relay_hello();
}

auto PeerTransport::Send(const EntryId& peer, peer::Envelope envelope) -> bool {
  envelope.set_sender(this->settings.self.value);
  envelope.set_incarnation(this->settings.incarnation);
  const auto link = this->links.find(peer);
  if (link == this->links.end() ||
      !link->second->Send(envelope.SerializeAsString())) {
    ++this->counters.send_dropped;
    return false;
  }
  ++this->counters.sent;
  return true;
}

auto PeerTransport::Broadcast(peer::Envelope envelope) -> int {
  envelope.set_sender(this->settings.self.value);
  envelope.set_incarnation(this->settings.incarnation);
  const std::string bytes = envelope.SerializeAsString();
  int reached = 0;
  for (const auto& [peer, link] : this->links) {
    if (link->Send(bytes)) {
      ++reached;
      ++this->counters.sent;
    } else {
      ++this->counters.send_dropped;
    }
  }
  return reached;
}

auto PeerTransport::SetPeerAddress(const EntryId& peer,
                                   const std::string& address) -> void {
  const TimePoint now = ReadBootClock();
  const auto link = this->links.find(peer);
  if (link == this->links.end()) {
    this->links.emplace(
        peer, std::make_unique<PeerLink>(this->zmq_context, this->settings,
                                         peer, address, now));
  } else if (link->second->Address() != address) {
    link->second->Rebuild(address, now);
    ++this->counters.rebuilt_sockets;
  }
}

auto PeerTransport::RemovePeer(const EntryId& peer) -> void {
  this->links.erase(peer);
}

auto PeerTransport::RebuildLink(const EntryId& peer) -> void {
  const auto link = this->links.find(peer);
  if (link != this->links.end()) {
    link->second->Rebuild(link->second->Address(), ReadBootClock());
    ++this->counters.rebuilt_sockets;
  }
}

auto PeerTransport::ListenAddress() const -> std::string {
  const std::string endpoint = this->router.get(zmq::sockopt::last_endpoint);
  constexpr std::string_view kScheme = "tcp://";
  return endpoint.substr(kScheme.size());
}

}  // namespace fireflythread
