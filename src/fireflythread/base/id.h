#ifndef FIREFLYTHREAD_BASE_ID_H_
#define FIREFLYTHREAD_BASE_ID_H_

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace fireflythread {

/// A name of one kind of object. The tag keeps names of different kinds from
/// being mixed up at compile time.
template <typename Tag>
struct Id {
  Id() = default;
  explicit Id(std::string name) : value(std::move(name)) {}

  [[nodiscard]] auto empty() const -> bool { return this->value.empty(); }
  // clang-tidy 14 takes the generated comparison with 0 for a pointer.
  auto operator<=>(const Id&) const = default;  // NOLINT

  std::string value;
};

}  // namespace fireflythread

template <typename Tag>
struct std::hash<fireflythread::Id<Tag>> {
  [[nodiscard]] auto operator()(const fireflythread::Id<Tag>& id) const
      -> std::size_t {
    return std::hash<std::string>{}(id.value);
  }
};

#endif  // FIREFLYTHREAD_BASE_ID_H_
