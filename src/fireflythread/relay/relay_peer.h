#ifndef FIREFLYTHREAD_RELAY_RELAY_PEER_H_
#define FIREFLYTHREAD_RELAY_RELAY_PEER_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// An entry that relays an owner's orders, with the state of the connection to
/// it as seen by the owner.
struct RelayPeer {
  EntryId entry;
  /// Incarnation in the relay peer's row. The relay peer is usable once this
  /// incarnation has answered a hello with a welcome.
  std::uint64_t incarnation = 0;
  std::string address;
  double weight = 1;
  /// StableHash() of the relay peer's id.
  std::uint64_t hash = 0;
  /// False if the relay peer is no longer selected. It then stays in the table
  /// until it has no pending orders.
  bool selected = false;
  /// True if the relay peer has announced that it accepts no further orders.
  bool stopping = false;
  /// True if the relay peer has answered a hello since it was last closed.
  bool welcomed = false;
  TimePoint last_message_at;
  /// No orders are sent before this time, because an order was unanswered.
  TimePoint paused_until;
  /// No orders are sent before this time, because the relay peer returned
  /// orders as too busy.
  TimePoint busy_until;
  TimePoint next_hello;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_RELAY_PEER_H_
