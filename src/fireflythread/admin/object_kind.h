#ifndef FIREFLYTHREAD_ADMIN_OBJECT_KIND_H_
#define FIREFLYTHREAD_ADMIN_OBJECT_KIND_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace fireflythread::admin {

/// The kinds of configuration objects that operators edit. The number is the
/// index of the kind's names.
enum class ObjectKind : std::uint8_t { kProfile, kService, kPool, kTeam };

/// The kind's name in table keys and history, e.g. "profile".
[[nodiscard]] auto ObjectKindName(ObjectKind kind) -> std::string_view;

/// The kind's collection in the API's paths, e.g. "profiles".
[[nodiscard]] auto ObjectKindCollection(ObjectKind kind) -> std::string_view;

/// The kind of a collection; no value for an unknown one.
[[nodiscard]] auto ObjectKindFromCollection(std::string_view collection)
    -> std::optional<ObjectKind>;

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_OBJECT_KIND_H_
