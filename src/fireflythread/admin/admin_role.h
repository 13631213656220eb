#ifndef FIREFLYTHREAD_ADMIN_ADMIN_ROLE_H_
#define FIREFLYTHREAD_ADMIN_ADMIN_ROLE_H_

#include <cstdint>

namespace fireflythread::admin {

/// What a token permits. kEdit includes kView.
enum class AdminRole : std::uint8_t { kView, kEdit };

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ADMIN_ROLE_H_
