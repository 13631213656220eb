#ifndef FIREFLYTHREAD_GATEWAY_CALLER_EXCHANGE_H_
#define FIREFLYTHREAD_GATEWAY_CALLER_EXCHANGE_H_

#include <libsoup/soup.h>

#include <functional>
#include <memory>

#include "fireflythread/gateway/caller_response.h"

namespace fireflythread {

/// One request on the caller listener, waiting for its one answer. It keeps
/// itself alive until the answer has been written or the connection is lost.
class CallerExchange {
 public:
  /// `finished` runs when the answer has been written or the connection lost.
  [[nodiscard]] static auto Create(SoupServerMessage* message,
                                   std::function<void()> finished)
      -> std::shared_ptr<CallerExchange>;

  ~CallerExchange();
  CallerExchange(const CallerExchange&) = delete;
  auto operator=(const CallerExchange&) -> CallerExchange& = delete;

  /// Sends the answer, unless the caller has gone. At most once.
  auto Answer(CallerResponse response) -> void;

  /// Asks the socket whether the caller has closed its end.
  [[nodiscard]] auto IsCallerGone() const -> bool;

 private:
  CallerExchange(SoupServerMessage* message, std::function<void()> finished);
  static auto OnFinished(SoupServerMessage* message, gpointer self) -> void;

  SoupServerMessage* message;
  gulong finished_handler;
  std::function<void()> finished;
  std::shared_ptr<CallerExchange> keep;
  bool answered = false;
  bool gone = false;
};

/// Fills in status, headers and body of a message.
auto WriteResponse(SoupServerMessage* message, CallerResponse response) -> void;

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_GATEWAY_CALLER_EXCHANGE_H_
