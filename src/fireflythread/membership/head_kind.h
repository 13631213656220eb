#ifndef FIREFLYTHREAD_MEMBERSHIP_HEAD_KIND_H_
#define FIREFLYTHREAD_MEMBERSHIP_HEAD_KIND_H_

#include <cstdint>

namespace fireflythread {

/// The two `head` rows whose versions make up an entry's control state.
enum class HeadKind : std::uint8_t { kConfig, kFleet };

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_MEMBERSHIP_HEAD_KIND_H_
