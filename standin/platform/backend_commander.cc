#include "standin/platform/backend_commander.h"

#include <fmt/format.h>

#include <cstdio>

namespace fireflythread::standin {

// One connection keeps the commands in order.
BackendCommander::BackendCommander()
    : session(soup_session_new_with_options("max-conns",
                                            1,
                                            "max-conns-per-host",
                                            1,
                                            "proxy-resolver",
                                            nullptr,
                                            nullptr)) {}

BackendCommander::~BackendCommander() {
  g_object_unref(this->session);
}

auto BackendCommander::Send(const VmEntry& vm,
                            const std::string& command,
                            const nlohmann::json& body) -> void {
  if (vm.control.empty()) {
    return;
  }
  const std::string uri =
      fmt::format("http://{}/vms/{}/{}", vm.control, vm.id, command);
  SoupMessage* message = soup_message_new("POST", uri.c_str());
  if (message == nullptr) {
    fmt::print(stderr, "not a control address: {}\n", vm.control);
    return;
  }
  const std::string text = body.dump();
  GBytes* bytes = g_bytes_new(text.data(), text.size());
  soup_message_set_request_body_from_bytes(message, "application/json", bytes);
  g_bytes_unref(bytes);
  soup_session_send_and_read_async(
      this->session, message, G_PRIORITY_DEFAULT, nullptr,
      +[](GObject* source, GAsyncResult* result, gpointer) -> void {
        GError* error = nullptr;
        GBytes* answer = soup_session_send_and_read_finish(SOUP_SESSION(source),
                                                           result, &error);
        if (error != nullptr) {
          fmt::print(stderr, "VM command failed: {}\n", error->message);
        }
        g_clear_error(&error);
        g_clear_pointer(&answer, g_bytes_unref);
      },
      nullptr);
  g_object_unref(message);
}

}  // namespace fireflythread::standin
