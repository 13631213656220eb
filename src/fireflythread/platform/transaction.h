#ifndef FIREFLYTHREAD_PLATFORM_TRANSACTION_H_
#define FIREFLYTHREAD_PLATFORM_TRANSACTION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fireflythread {

/// Requires that a row has exactly this version; 0 requires that it is absent.
struct Condition {
  std::string table;
  std::string key;
  std::uint64_t version = 0;
  std::string part = {};
};

/// Replaces a row's value, or deletes the row when there is no value.
struct Write {
  std::string table;
  std::string key;
  std::optional<std::string> value;
  std::string part = {};
};

/// Writes that the platform's table applies together if all conditions hold.
/// `nonce` names the transaction; the platform does not interpret it.
struct Transaction {
  std::string nonce;
  std::vector<Condition> conditions;
  std::vector<Write> writes;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_PLATFORM_TRANSACTION_H_
