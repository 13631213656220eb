#ifndef FIREFLYTHREAD_DAEMON_VM_PROBER_H_
#define FIREFLYTHREAD_DAEMON_VM_PROBER_H_

#include <libsoup/soup.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "fireflythread/base/ids.h"
#include "fireflythread/control/vm_probe.h"

namespace fireflythread {

/// Asks backend servers for `GET /healthz` and keeps what they answered last.
class VmProber {
 public:
  VmProber();
  ~VmProber();
  VmProber(const VmProber&) = delete;
  auto operator=(const VmProber&) -> VmProber& = delete;

  /// Sends a probe unless one is outstanding for this VM. `address` is its
  /// host and port.
  auto Probe(const VmId& vm, const std::string& address) -> void;
  [[nodiscard]] auto Probes() const -> const std::map<VmId, VmProbe>&;

 private:
  struct Call;

  static auto OnAnswer(GObject* source, GAsyncResult* result, gpointer data)
      -> void;
  auto Record(const VmId& vm, bool answering, std::string boot) -> void;

  SoupSession* session = nullptr;
  GCancellable* cancellable = nullptr;
  std::map<VmId, VmProbe> probes;
  std::map<VmId, bool> outstanding;
};

}  // namespace fireflythread

#endif  // FIREFLYTHREAD_DAEMON_VM_PROBER_H_
