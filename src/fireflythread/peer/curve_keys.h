#ifndef FIREFLYTHREAD_PEER_CURVE_KEYS_H_
#define FIREFLYTHREAD_PEER_CURVE_KEYS_H_

#include <map>
#include <string>

#include "fireflythread/base/ids.h"

namespace fireflythread {

/// Keys for encrypted and authenticated connections between entries. Every key
/// is Z85 text of 40 characters.
struct CurveKeys {
  std::string public_key;
  std::string secret_key;
  /// The public key of each peer. Only these may connect, and only to send
  /// under the name of the peer that the key belongs to.
  std::map<EntryId, std::string> peer_public_keys;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PEER_CURVE_KEYS_H_
