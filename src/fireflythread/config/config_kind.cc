#include "fireflythread/config/config_kind.h"

#include <algorithm>
#include <array>
#include <utility>

#include "fireflythread/base/assert.h"

namespace fireflythread {

namespace {

constexpr std::size_t kLongestName = 63;

constexpr std::array<std::pair<ConfigKind, std::string_view>, 4> kKindNames{{
    {ConfigKind::kProfile, "profile"},
    {ConfigKind::kService, "service"},
    {ConfigKind::kPool, "pool"},
    {ConfigKind::kTeam, "team"},
}};

auto IsNameCharacter(char c) -> bool {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

}  // namespace

auto ConfigKindName(ConfigKind kind) -> std::string_view {
  for (const auto& [known, name] : kKindNames) {
    if (known == kind) {
      return name;
    }
  }
  FIREFLYTHREAD_ASSERT(false, "every kind has a name");
}

auto ParseConfigKind(std::string_view name) -> std::optional<ConfigKind> {
  for (const auto& [kind, known] : kKindNames) {
    if (known == name) {
      return kind;
    }
  }
  return std::nullopt;
}

auto ConfigKey(ConfigKind kind, std::string_view name) -> std::string {
  std::string key(ConfigKindName(kind));
  key.push_back('/');
  key.append(name);
  return key;
}

auto IsValidName(std::string_view name) -> bool {
  return !name.empty() && name.size() <= kLongestName &&
         std::ranges::all_of(name, IsNameCharacter) && name.front() != '-' &&
         name.back() != '-';
}

}  // namespace fireflythread
