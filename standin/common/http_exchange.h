#ifndef STANDIN_COMMON_HTTP_EXCHANGE_H_
#define STANDIN_COMMON_HTTP_EXCHANGE_H_

#include <libsoup/soup.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace fireflythread::standin {

/// One request that a stand-in received, and its answer. Answering may happen
/// at once or later; exactly one of the answering functions is called.
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
 public:
  using Headers = std::vector<std::pair<std::string, std::string>>;

  explicit HttpExchange(SoupServerMessage* received);
  ~HttpExchange();
  HttpExchange(const HttpExchange&) = delete;
  auto operator=(const HttpExchange&) -> HttpExchange& = delete;

  [[nodiscard]] auto Method() const -> std::string;
  /// The unescaped segments of the path.
  [[nodiscard]] auto Segments() const -> std::vector<std::string>;
  /// The path as it was sent.
  [[nodiscard]] auto RawPath() const -> std::string;
  /// A parameter of the query string; empty when absent.
  [[nodiscard]] auto Query(const std::string& name) const -> std::string;
  /// A request header; empty when absent.
  [[nodiscard]] auto Header(const char* name) const -> std::string;
  [[nodiscard]] auto Body() const -> std::string;
  /// The client's port, which names the connection while it is open.
  [[nodiscard]] auto ClientPort() const -> int;

  /// Sends a whole answer. Returns at once; an answer to a client that has
  /// gone is dropped.
  auto Reply(unsigned status,
             const std::string& body,
             const Headers& headers = {}) -> void;
  auto ReplyJson(unsigned status,
                 const nlohmann::json& json,
                 const Headers& headers = {}) -> void;
  /// Sends the headers and the first half of the body and closes.
  auto ReplyTruncated(unsigned status,
                      const std::string& body,
                      const Headers& headers) -> void;
  /// Sends the whole answer twice and leaves the connection open; a further
  /// request on it is not read.
  auto ReplyTwice(unsigned status,
                  const std::string& body,
                  const Headers& headers) -> void;
  /// Closes the connection without an answer.
  auto Close() -> void;
  /// Leaves the connection open and never answers on it again.
  auto GoSilent() -> void;

 private:
  auto StealLater(std::string bytes, bool close) -> void;

  SoupServerMessage* message;
  bool gone = false;
};

}  // namespace fireflythread::standin

#endif  // STANDIN_COMMON_HTTP_EXCHANGE_H_
