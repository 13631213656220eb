#ifndef FIREFLYTHREAD_ADMIN_ADMIN_TOKENS_H_
#define FIREFLYTHREAD_ADMIN_ADMIN_TOKENS_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fireflythread/admin/admin_role.h"

namespace fireflythread::admin {

/// The bearer tokens of the administration API.
class AdminTokens {
 public:
  struct Token {
    AdminRole role = AdminRole::kView;
    std::string name;
    std::string secret;
  };

  /// Who sent a request and what that operator may do.
  struct Identity {
    AdminRole role = AdminRole::kView;
    std::string name;
  };

  explicit AdminTokens(std::vector<Token> tokens);

  /// The holder of the token in an `Authorization` header; no value when the
  /// header has no known token. Compares with every token, in a time that does
  /// not depend on how much of one matches.
  [[nodiscard]] auto Authenticate(std::string_view authorization) const
      -> std::optional<Identity>;

 private:
  std::vector<Token> tokens;
};

/// Reads lines `view NAME TOKEN` or `edit NAME TOKEN`; empty lines and lines
/// that begin with # are skipped. Gives all faults by line number, without the
/// tokens. A token has 16 to 256 printable characters.
[[nodiscard]] auto ParseAdminTokens(std::string_view text)
    -> std::variant<AdminTokens, std::vector<std::string>>;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ADMIN_TOKENS_H_
