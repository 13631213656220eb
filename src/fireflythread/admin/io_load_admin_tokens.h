#ifndef FIREFLYTHREAD_ADMIN_IO_LOAD_ADMIN_TOKENS_H_
#define FIREFLYTHREAD_ADMIN_IO_LOAD_ADMIN_TOKENS_H_

#include <string>
#include <variant>
#include <vector>

#include "fireflythread/admin/admin_tokens.h"

namespace fireflythread::admin {

/// Reads the token file. Refuses a file that others than its owner and group
/// may read or write.
[[nodiscard]] auto LoadAdminTokens(const std::string& path)
    -> std::variant<AdminTokens, std::vector<std::string>>;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_IO_LOAD_ADMIN_TOKENS_H_
