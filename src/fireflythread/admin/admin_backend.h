#ifndef FIREFLYTHREAD_ADMIN_ADMIN_BACKEND_H_
#define FIREFLYTHREAD_ADMIN_ADMIN_BACKEND_H_

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "fireflythread/admin/admin_error.h"
#include "fireflythread/admin/config_object.h"
#include "fireflythread/admin/config_version_status.h"
#include "fireflythread/admin/declare_request.h"
#include "fireflythread/admin/edit_request.h"
#include "fireflythread/admin/edit_result.h"
#include "fireflythread/admin/fleet_status.h"
#include "fireflythread/admin/found_trace.h"
#include "fireflythread/admin/history_entry.h"
#include "fireflythread/admin/history_query.h"
#include "fireflythread/admin/readiness.h"
#include "fireflythread/admin/vm_filter.h"
#include "fireflythread/admin/vm_status.h"
#include "fireflythread/admin/wave_status.h"
#include "fireflythread/base/ids.h"
#include "fireflythread/base/time.h"

namespace fireflythread::admin {

/// What the administration API needs from the daemon. Every method with a
/// callback runs it exactly once, either before it returns or later on the same
/// main loop. The caller bounds the wait, so a callback may come after its
/// client has gone.
class AdminBackend {
 public:
  template <typename T>
  using Callback = std::function<void(std::variant<T, AdminError>)>;
  using EditCallback = std::function<void(EditResult)>;

  virtual ~AdminBackend() = default;

  virtual auto ListObjects(ObjectKind kind,
                           Callback<std::vector<ConfigObject>> callback)
      -> void = 0;
  virtual auto GetObject(ObjectKind kind,
                         std::string name,
                         Callback<ConfigObject> callback) -> void = 0;

  /// Validates and commits an edit or a deletion, and waits for its acceptance
  /// for at most `request.wait`.
  virtual auto Edit(EditRequest request, EditCallback callback) -> void = 0;

  virtual auto ListPools(Callback<std::vector<PoolStatus>> callback)
      -> void = 0;
  virtual auto ListVms(VmFilter filter,
                       Callback<std::vector<VmStatus>> callback) -> void = 0;
  virtual auto GetVm(VmId id, Callback<VmStatus> callback) -> void = 0;

  /// Declares a wave, or plans it for a dry run.
  virtual auto DeclareMaintenance(DeclareRequest request,
                                  Callback<WaveStatus> callback) -> void = 0;
  virtual auto ListWaves(Callback<std::vector<WaveStatus>> callback)
      -> void = 0;
  virtual auto GetWave(WaveId id, Callback<WaveStatus> callback) -> void = 0;
  virtual auto CancelWave(WaveId id,
                          std::string who,
                          Callback<WaveStatus> callback) -> void = 0;

  virtual auto GetStatus(Callback<FleetStatus> callback) -> void = 0;

  /// Answers once every serving member has applied `version`, or when `wait`
  /// has passed; `behind` is empty in the first case. Version 0 asks for the
  /// newest committed version.
  virtual auto WaitForConfig(std::uint64_t version,
                             Duration wait,
                             Callback<ConfigVersionStatus> callback)
      -> void = 0;

  virtual auto ListHistory(HistoryQuery query,
                           Callback<std::vector<HistoryEntry>> callback)
      -> void = 0;

  /// The spans of one trace that the entries still hold; kNotFound when there
  /// are none.
  virtual auto FindTrace(std::string trace_id, Callback<FoundTrace> callback)
      -> void = 0;

  [[nodiscard]] virtual auto GetReadiness() const -> Readiness = 0;

  /// Metrics in Prometheus' text format.
  [[nodiscard]] virtual auto RenderMetrics() const -> std::string = 0;
};

}  // namespace fireflythread::admin

#endif  // FIREFLYTHREAD_ADMIN_ADMIN_BACKEND_H_
