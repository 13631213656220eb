#ifndef FIREFLYTHREAD_CONFIG_CHECK_KEY_REDACTION_H_
#define FIREFLYTHREAD_CONFIG_CHECK_KEY_REDACTION_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace fireflythread {

/// Hides API keys in text for operators. A key can appear in a name by mistake,
/// for instance in that of an organisation.
class KeyRedaction {
 public:
  auto Add(std::string_view key) -> void;

  /// Returns the text with every key replaced: long keys wherever they are,
  /// short ones where they are words of their own, since a short key is a part
  /// of many words.
  [[nodiscard]] auto Redact(std::string_view text) const -> std::string;

 private:
  /// Returns the length of the longest key at this position, or 0.
  [[nodiscard]] auto KeyLengthAt(std::string_view text,
                                 std::size_t position) const -> std::size_t;

  std::unordered_set<std::string> known;
  /// The lengths of the keys that begin with the same bytes.
  std::unordered_map<std::string, std::vector<std::size_t>> long_keys;
  std::vector<std::size_t> short_lengths;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CHECK_KEY_REDACTION_H_
