#ifndef FIREFLYTHREAD_CTL_READ_TOKEN_H_
#define FIREFLYTHREAD_CTL_READ_TOKEN_H_

#include <string>
#include <string_view>

namespace fireflythread::ctl {

/// The token in the text of a token file: the last word of the first line that
/// is neither empty nor a comment, so that a line of the server's token file
/// serves too. Empty when there is none.
[[nodiscard]] auto ReadToken(std::string_view text) -> std::string;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_READ_TOKEN_H_
