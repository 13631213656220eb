#ifndef FIREFLYTHREAD_PEER_PEER_TRANSPORT_H_
#define FIREFLYTHREAD_PEER_PEER_TRANSPORT_H_

#include <glib.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <zmq.hpp>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/peer/generated/peer.pb.h"
#include "fireflythread/peer/peer_counters.h"
#include "fireflythread/peer/peer_link.h"
#include "fireflythread/peer/peer_transport_settings.h"
#include "fireflythread/peer/socket_watch.h"
#include "fireflythread/peer/zap_authenticator.h"

namespace fireflythread {

/// Messages between the entries of a cell over ZeroMQ. A ROUTER socket at the
/// own address receives from all peers, a DEALER socket sends to each peer;
/// answers go by the sender's own DEALER. Messages may be lost, duplicated by
/// a reconnection, or late. Runs on one GLib main context.
class PeerTransport {
 public:
  /// Runs for each well-formed message of a peer. Must not destroy the
  /// transport.
  using Handler = std::function<void(const peer::Envelope&)>;
  /// Why the transport did not open.
  struct OpenError {
    std::string reason;
  };
  using OpenResult = std::variant<std::unique_ptr<PeerTransport>, OpenError>;

  /// Listens and starts to connect to all peers. A null `context` stands for
  /// the default one.
  [[nodiscard]] static auto Open(PeerTransportSettings settings,
                                 GMainContext* context,
                                 Handler handler) -> OpenResult;
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  auto operator=(const PeerTransport&) -> PeerTransport& = delete;

  /// Sets sender and incarnation and sends without blocking. False when the
  /// message was dropped: there is no connection or the queue is full.
  auto Send(const EntryId& peer, peer::Envelope envelope) -> bool;
  /// Sends to every peer; returns to how many it was not dropped.
  auto Broadcast(peer::Envelope envelope) -> int;

  /// Adds a peer or changes its address, with a new socket if it differs.
  auto SetPeerAddress(const EntryId& peer, const std::string& address) -> void;
  /// Closes the peer's socket and leaves out its messages from now on.
  auto RemovePeer(const EntryId& peer) -> void;
  /// Replaces the peer's socket, for a caller that misses its answers.
  auto RebuildLink(const EntryId& peer) -> void;

  [[nodiscard]] auto Counters() const -> const PeerCounters& {
    return this->counters;
  }
  /// Address and port that the transport listens at.
  [[nodiscard]] auto ListenAddress() const -> std::string;

 private:
  PeerTransport(PeerTransportSettings settings,
                GMainContext* context,
                Handler handler);

  auto Listen(GMainContext* context) -> void;
  auto WatchSilence(GMainContext* context) -> void;
  static auto OnSilenceCheck(gpointer data) -> gboolean;
  [[nodiscard]] auto ReceiveOne() -> bool;
  auto Deliver(zmq::message_t& payload) -> void;
  [[nodiscard]] auto Admits(const peer::Envelope& envelope) const -> bool;

  PeerTransportSettings settings;
  Handler handler;
  PeerCounters counters;
  zmq::context_t zmq_context;
  std::unique_ptr<ZapAuthenticator> authenticator;
  zmq::socket_t router;
  std::unique_ptr<SocketWatch> watch;
  std::map<EntryId, std::unique_ptr<PeerLink>> links;
  GSource* silence_check = nullptr;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PEER_PEER_TRANSPORT_H_
