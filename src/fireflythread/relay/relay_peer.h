#ifndef FIREFLYTHREAD_RELAY_RELAY_PEER_H_
#define FIREFLYTHREAD_RELAY_RELAY_PEER_H_

#include <cstdint>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread {

/// What an owner knows of one helper.
struct RelayPeer {
  EntryId entry;
  /// Of the helper's row; the path is used once this life has welcomed it.
  std::uint64_t incarnation = 0;
  std::string address;
  double weight = 1;
  /// Hash of the helper's id.
  std::uint64_t hash = 0;
  /// False once the helper is chosen no more; the path stays until its orders
  /// are answered.
  bool selected = false;
  /// The helper said that it takes no further orders.
  bool stopping = false;
  bool welcomed = false;
  TimePoint last_message_at;
  TimePoint paused_until;
  /// Until then its helper is left alone for having handed orders back.
  TimePoint busy_until;
  TimePoint next_hello;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_RELAY_RELAY_PEER_H_
