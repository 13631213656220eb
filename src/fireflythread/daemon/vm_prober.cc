#include "fireflythread/daemon/vm_prober.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/base/io_clock.h"

namespace fireflythread {
namespace {

constexpr guint kProbeTimeoutSeconds = 1;

/// What a health answer says of a VM.
struct Health {
  /// A VM that drains answers 503 but is healthy.
  bool draining = false;
  std::string boot;
};

auto ParseHealth(GBytes* body) -> Health {
  gsize size = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(body, &size));
  if (data == nullptr) {
    return {};
  }
  const auto object = nlohmann::json::parse(data, data + size, nullptr, false);
  if (!object.is_object()) {
    return {};
  }
  Health health;
  const auto boot = object.find("boot");
  if (boot != object.end() && boot->is_string()) {
    health.boot = boot->get<std::string>();
  }
  const auto draining = object.find("draining");
  health.draining = draining != object.end() && draining->is_boolean() &&
                    draining->get<bool>();
  return health;
}

}  // namespace

struct VmProber::Call {
  VmProber* prober;
  VmId vm;
  SoupMessage* message;
};

VmProber::VmProber()
    : session(soup_session_new()), cancellable(g_cancellable_new()) {
  soup_session_set_timeout(this->session, kProbeTimeoutSeconds);
}

VmProber::~VmProber() {
  g_cancellable_cancel(this->cancellable);
  g_object_unref(this->cancellable);
  soup_session_abort(this->session);
  g_object_unref(this->session);
}

auto VmProber::Probes() const -> const std::map<VmId, VmProbe>& {
  return this->probes;
}

auto VmProber::Probe(const VmId& vm, const std::string& address) -> void {
  bool& waiting = this->outstanding[vm];
  if (waiting) {
    return;
  }
  const std::string uri = "http://" + address + "/healthz";
  SoupMessage* message = soup_message_new("GET", uri.c_str());
  if (message == nullptr) {
    this->Record(vm, false, "");
    return;
  }
  waiting = true;
  // A new connection, so that a silent old one says nothing about the VM.
  soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
  soup_message_headers_replace(soup_message_get_request_headers(message),
                               "Connection", "close");
  soup_session_send_and_read_async(this->session, message, G_PRIORITY_DEFAULT,
                                   this->cancellable, &VmProber::OnAnswer,
                                   new Call{this, vm, message});
}

auto VmProber::OnAnswer(GObject* source, GAsyncResult* result, gpointer data)
    -> void {
  const std::unique_ptr<Call> call(static_cast<Call*>(data));
  GError* error = nullptr;
  GBytes* body =
      soup_session_send_and_read_finish(SOUP_SESSION(source), result, &error);
  const bool cancelled =
      error != nullptr &&
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED);
  if (!cancelled) {
    const Health health = body != nullptr ? ParseHealth(body) : Health();
    const bool answering =
        body != nullptr &&
        (soup_message_get_status(call->message) == SOUP_STATUS_OK ||
         health.draining);
    call->prober->outstanding[call->vm] = false;
    call->prober->Record(call->vm, answering, health.boot);
  }
  g_clear_error(&error);
  if (body != nullptr) {
    g_bytes_unref(body);
  }
  g_object_unref(call->message);
}

auto VmProber::Record(const VmId& vm, bool answering, std::string boot)
    -> void {
  const TimePoint now = ReadBootClock();
  const auto [probe, inserted] = this->probes.try_emplace(vm);
  if (inserted || probe->second.answering != answering ||
      (answering && probe->second.boot != boot)) {
    probe->second.since = now;
  }
  probe->second.answering = answering;
  if (answering) {
    probe->second.boot = std::move(boot);
  }
}

}  // namespace fireflythread
