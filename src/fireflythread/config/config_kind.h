#ifndef FIREFLYTHREAD_CONFIG_CONFIG_KIND_H_
#define FIREFLYTHREAD_CONFIG_CONFIG_KIND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflythread {

/// The kinds of objects that operators edit.
enum class ConfigKind : std::uint8_t { kProfile, kService, kPool, kTeam };

/// The kind's prefix in the keys of the `config` table, e.g. "profile".
[[nodiscard]] auto ConfigKindName(ConfigKind kind) -> std::string_view;

/// The kind with this prefix; no value when there is none.
[[nodiscard]] auto ParseConfigKind(std::string_view name)
    -> std::optional<ConfigKind>;

/// The key of an object's row, e.g. "profile/steady".
[[nodiscard]] auto ConfigKey(ConfigKind kind, std::string_view name)
    -> std::string;

/// True for 1 to 63 lower-case letters, digits and inner hyphens.
[[nodiscard]] auto IsValidName(std::string_view name) -> bool;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_CONFIG_CONFIG_KIND_H_
