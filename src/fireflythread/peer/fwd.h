#ifndef FIREFLYTHREAD_PEER_FWD_H_
#define FIREFLYTHREAD_PEER_FWD_H_

namespace fireflythread {

struct CurveKeys;
struct PeerCounters;
struct PeerTransportSettings;
class PeerLink;
class PeerTransport;
class ZapAuthenticator;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PEER_FWD_H_
