#ifndef FIREFLYTHREAD_MEMBERSHIP_PING_H_
#define FIREFLYTHREAD_MEMBERSHIP_PING_H_

#include <cstdint>

#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"
#include "fireflythread/membership/fwd.h"
#include "fireflythread/membership/ping_question.h"
#include "fireflythread/membership/pong_answer.h"

namespace fireflythread {

/// Opens a round. `now` must be read before the question is sent to anyone.
[[nodiscard]] auto StartPingRound(Membership& membership, TimePoint now)
    -> PingQuestion;

/// This entry's answer to a peer's question, by its state at this moment.
[[nodiscard]] auto AnswerPing(const Membership& membership,
                              const PingQuestion& question) -> PongAnswer;

/// Takes a peer's answer. Answers to unknown rounds and from strangers have no
/// effect. Returns true if the answer belongs to a known round.
auto TakePong(Membership& membership,
              const EntryId& sender,
              std::uint64_t incarnation,
              const PongAnswer& answer) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_PING_H_
