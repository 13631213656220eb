#ifndef TEST_PROCESS_HTTP_FETCH_H_
#define TEST_PROCESS_HTTP_FETCH_H_

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

namespace fireflythread::test {

/// An answer; status 0 when there was none.
struct HttpAnswer {
  unsigned status = 0;
  std::string body;
  /// `Fireflythread-Outcome`; empty when absent.
  std::string outcome;
  std::string reason;

  /// The body; null when it is not JSON.
  [[nodiscard]] auto Json() const -> nlohmann::json;
};

using HttpHeaders = std::map<std::string, std::string>;

/// Sends one request on a connection of its own and waits for the answer. May
/// be called from any thread.
[[nodiscard]] auto Fetch(
    const std::string& method,
    const std::string& url,
    const std::string& body = "",
    const HttpHeaders& headers = {},
    std::chrono::seconds timeout = std::chrono::seconds(40)) -> HttpAnswer;

}  // namespace fireflythread::test

#endif  // TEST_PROCESS_HTTP_FETCH_H_
