#ifndef FIREFLYTHREAD_CTL_PATH_H_
#define FIREFLYTHREAD_CTL_PATH_H_

#include <string>
#include <string_view>

namespace fireflythread::ctl {

/// A text as one segment of a path or one value of a query.
[[nodiscard]] auto Escape(std::string_view text) -> std::string;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_PATH_H_
