#ifndef TEST_FIREFLYTHREAD_CTL_HANDLER_API_H_
#define TEST_FIREFLYTHREAD_CTL_HANDLER_API_H_

#include <functional>
#include <string>

#include "fireflythread/admin/admin_handler.h"
#include "fireflythread/ctl/api.h"
#include "fireflythread/ctl/options.h"
#include "fireflythread/ctl/output.h"
#include "fireflythread/ctl/run_command.h"
#include "fireflythread/telemetry/logger.h"
#include "test/fireflythread/admin/fake_backend.h"
#include "test/fireflythread/admin/server_fixture.h"

namespace fireflythread::ctl::test {

/// Reaches the administration API's handler without sockets. Sleep() only runs
/// `on_sleep`, so waits take no time.
class HandlerApi : public Api {
 public:
  auto Call(const ApiRequest& request) -> ApiReply override {
    admin::AdminRequest received;
    received.method = request.method;
    const std::size_t question = request.path.find('?');
    received.path = request.path.substr(0, question);
    if (question != std::string::npos) {
      this->ReadQuery(request.path.substr(question + 1), received);
    }
    received.authorization = "Bearer " + this->token;
    for (const auto& [name, value] : request.headers) {
      (name == "If-Match" ? received.if_match : received.idempotency_key) =
          value;
    }
    received.body = request.body;
    ApiReply reply;
    this->handler.Handle(received, [&](const admin::AdminResponse& response) {
      reply.status = response.status;
      reply.json = nlohmann::json::parse(response.body, nullptr, false);
    });
    if (this->after_call) {
      this->after_call(request);
    }
    return reply;
  }

  auto Sleep(Duration) -> void override {
    if (this->on_sleep) {
      this->on_sleep();
    }
  }

  admin::test::FakeBackend backend;
  std::string token = admin::test::kEditToken;
  std::function<void()> on_sleep;
  std::function<void(const ApiRequest&)> after_call;

 private:
  static auto ReadQuery(std::string query, admin::AdminRequest& request)
      -> void {
    while (!query.empty()) {
      const std::size_t end = std::min(query.find('&'), query.size());
      const std::size_t equals = query.find('=');
      request.query[query.substr(0, equals)] =
          query.substr(equals + 1, end - equals - 1);
      query.erase(0, end + 1);
    }
  }

  Logger logger{LogIdentity{}, LogLevel::kError, [](std::string_view) {},
                [] { return WallTime(); }};
  admin::AdminHandler handler{admin::test::Tokens(), backend, logger};
};

}  // namespace fireflythread::ctl::test

#endif  // TEST_FIREFLYTHREAD_CTL_HANDLER_API_H_
