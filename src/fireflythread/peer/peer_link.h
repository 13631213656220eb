#ifndef FIREFLYTHREAD_PEER_PEER_LINK_H_
#define FIREFLYTHREAD_PEER_PEER_LINK_H_

#include <optional>
#include <string>
#include <string_view>
#include <zmq.hpp>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/peer/peer_transport_settings.h"

namespace fireflythread {

/// The sending side towards one peer: a DEALER socket that can be replaced.
class PeerLink {
 public:
  PeerLink(zmq::context_t& zmq_context,
           const PeerTransportSettings& settings,
           EntryId peer,
           std::string address,
           TimePoint now);

  /// False when there is no connection or the queue is full.
  [[nodiscard]] auto Send(std::string_view bytes) -> bool;

  /// Replaces the socket, to `address` if it differs.
  auto Rebuild(std::string address, TimePoint now) -> void;

  auto NoteHeard(TimePoint now) -> void { this->heard_at = now; }
  [[nodiscard]] auto Address() const -> const std::string& {
    return this->address;
  }
  /// True if nothing was heard, and the socket is not newer, for `limit`.
  [[nodiscard]] auto NeedsRebuild(Duration limit, TimePoint now) const -> bool;

 private:
  [[nodiscard]] auto Connect() -> zmq::socket_t;

  zmq::context_t& zmq_context;
  const PeerTransportSettings& settings;
  EntryId peer;
  std::string address;
  TimePoint built_at;
  TimePoint heard_at;
  zmq::socket_t socket;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PEER_PEER_LINK_H_
