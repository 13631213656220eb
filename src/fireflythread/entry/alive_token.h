#ifndef FIREFLYTHREAD_ENTRY_ALIVE_TOKEN_H_
#define FIREFLYTHREAD_ENTRY_ALIVE_TOKEN_H_

#include <memory>
#include <utility>

namespace fireflythread {

/// Guards callbacks that may run after their owner is destroyed. As a member of
/// the owner, it wraps a callback by Guard() so that the callback does nothing
/// once the token is destroyed.
class AliveToken {
 public:
  /// Returns a function that calls `function` while the token exists.
  template <typename Function>
  [[nodiscard]] auto Guard(Function function) const {
    return [weak = std::weak_ptr<bool>(this->token),
            inner = std::move(function)](auto&&... arguments) mutable -> void {
      if (!weak.expired()) {
        inner(std::forward<decltype(arguments)>(arguments)...);
      }
    };
  }

 private:
  std::shared_ptr<bool> token = std::make_shared<bool>(true);
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_ENTRY_ALIVE_TOKEN_H_
