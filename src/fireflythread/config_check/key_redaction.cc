#include "fireflythread/config_check/key_redaction.h"

#include <algorithm>
#include <cstddef>
#include <functional>

namespace fireflythread {
namespace {

/// Keys of this length and longer are found inside words too.
constexpr std::size_t kLongKey = 8;

/// Where long keys with the same first bytes have more lengths than this, the
/// rest of the text is hidden: the search would take too long.
constexpr std::size_t kMaxLengths = 16;

constexpr std::string_view kReplacement = "(hidden key)";

auto IsWordByte(char letter) -> bool {
  const auto byte = static_cast<unsigned char>(letter);
  constexpr unsigned char kFirstNonAscii = 0x80;
  return (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
         (byte >= 'A' && byte <= 'Z') || byte == '_' || byte >= kFirstNonAscii;
}

/// Returns whether a text of this length at this position is not a part of a
/// longer word.
auto IsWord(std::string_view text, std::size_t position, std::size_t length)
    -> bool {
  const std::size_t end = position + length;
  const bool begins = position == 0 || !IsWordByte(text[position]) ||
                      !IsWordByte(text[position - 1]);
  const bool ends = end == text.size() || !IsWordByte(text[end - 1]) ||
                    !IsWordByte(text[end]);
  return begins && ends;
}

/// Adds a length once, the longest first.
auto AddLength(std::vector<std::size_t>& lengths, std::size_t length) -> void {
  const auto place = std::lower_bound(lengths.begin(), lengths.end(), length,
                                      std::greater<>());
  if (place == lengths.end() || *place != length) {
    lengths.insert(place, length);
  }
}

}  // namespace

auto KeyRedaction::Add(std::string_view key) -> void {
  if (key.empty() || !this->known.emplace(key).second) {
    return;
  }
  if (key.size() < kLongKey) {
    AddLength(this->short_lengths, key.size());
  } else {
    AddLength(this->long_keys[std::string(key.substr(0, kLongKey))],
              key.size());
  }
}

auto KeyRedaction::KeyLengthAt(std::string_view text,
                               std::size_t position) const -> std::size_t {
  const std::size_t rest = text.size() - position;
  const auto is_key = [&](std::size_t length) -> bool {
    return length <= rest &&
           this->known.contains(std::string(text.substr(position, length)));
  };
  const auto lengths =
      this->long_keys.find(std::string(text.substr(position, kLongKey)));
  if (lengths != this->long_keys.end()) {
    if (lengths->second.size() > kMaxLengths) {
      return rest;
    }
    for (const std::size_t length : lengths->second) {
      if (is_key(length)) {
        return length;
      }
    }
  }
  for (const std::size_t length : this->short_lengths) {
    if (is_key(length) && IsWord(text, position, length)) {
      return length;
    }
  }
  return 0;
}

auto KeyRedaction::Redact(std::string_view text) const -> std::string {
  std::string redacted;
  for (std::size_t i = 0; i < text.size();) {
    const std::size_t length = this->KeyLengthAt(text, i);
    if (length == 0) {
      redacted += text[i];
      ++i;
    } else {
      redacted += kReplacement;
      i += length;
    }
  }
  return redacted;
}

}  // namespace fireflythread
