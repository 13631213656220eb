#include "platform/machines_client.h"

#include <glib.h>
#include <libsoup/soup.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "fireflythread/duties/duties.h"

namespace fireflythread::adapter {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A VM service that takes any number of orders at once and answers each after
/// a time.
class SlowVmService {
 public:
  static constexpr milliseconds kAnswerTime{200};

  SlowVmService() : server(soup_server_new(nullptr, nullptr)) {
    soup_server_add_handler(this->server, nullptr, &SlowVmService::OnRequest,
                            nullptr, nullptr);
    REQUIRE(soup_server_listen_local(this->server, 0,
                                     SOUP_SERVER_LISTEN_IPV4_ONLY, nullptr));
  }
  ~SlowVmService() { g_object_unref(this->server); }
  SlowVmService(const SlowVmService&) = delete;
  auto operator=(const SlowVmService&) -> SlowVmService& = delete;

  [[nodiscard]] auto Address() const -> std::string {
    GSList* uris = soup_server_get_uris(this->server);
    const int port = g_uri_get_port(static_cast<GUri*>(uris->data));
    g_slist_free_full(uris, reinterpret_cast<GDestroyNotify>(&g_uri_unref));
    return "127.0.0.1:" + std::to_string(port);
  }

 private:
  static auto OnRequest(SoupServer* /*server*/,
                        SoupServerMessage* message,
                        const char* /*path*/,
                        GHashTable* /*query*/,
                        gpointer /*data*/) -> void {
    soup_server_message_pause(message);
    g_timeout_add(static_cast<guint>(kAnswerTime.count()),
                  &SlowVmService::Answer, g_object_ref(message));
  }

  static auto Answer(gpointer data) -> gboolean {
    auto* message = static_cast<SoupServerMessage*>(data);
    soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
    soup_server_message_set_response(message, "application/json",
                                     SOUP_MEMORY_STATIC, "{}", 2);
    soup_server_message_unpause(message);
    g_object_unref(message);
    return G_SOURCE_REMOVE;
  }

  SoupServer* server;
};

TEST_CASE("Hundreds of VMs are ordered at once", "[platform]") {
  // Guards against a peak on a pool of hundreds of VMs whose orders wait for
  // one another in this process until they time out, are recorded and sent
  // again, and take effect when the peak is over.
  constexpr int kOrders = 300;
  const SlowVmService service;
  MachinesClient client(service.Address(), EntryId("entry"));
  int done = 0;
  int answered = 0;
  for (int number = 0; number < kOrders; ++number) {
    Duty duty;
    duty.vm = VmId("vm" + std::to_string(number));
    duty.target = ServiceName("desk");
    client.Order(duty, 7, seconds(10), [&](DutyVerdict verdict) {
      done += verdict == DutyVerdict::kDone ? 1 : 0;
      ++answered;
    });
  }
  while (answered < kOrders) {
    g_main_context_iteration(nullptr, TRUE);
  }
  // Four at a time would take 15 s.
  CHECK(done == kOrders);
}

}  // namespace
}  // namespace fireflythread::adapter
