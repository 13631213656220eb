#ifndef FIREFLYTHREAD_MEMBERSHIP_FWD_H_
#define FIREFLYTHREAD_MEMBERSHIP_FWD_H_

namespace fireflythread {

struct AcceptanceWatch;
struct HeadVersions;
struct Membership;
struct MembershipSettings;
struct PeerReport;
struct PingQuestion;
struct PingRound;
struct PongAnswer;
struct RecoveryRound;
struct SnapshotOffer;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_FWD_H_
