#ifndef TEST_FIREFLYTHREAD_ADMIN_FAKE_BACKEND_H_
#define TEST_FIREFLYTHREAD_ADMIN_FAKE_BACKEND_H_

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fireflythread/admin/admin_backend.h"

namespace fireflythread::admin::test {

/// Keeps objects in memory with versions and records the calls. Answers at
/// once, unless `hold` is set; then Release() answers.
class FakeBackend : public AdminBackend {
 public:
  using Key = std::pair<ObjectKind, std::string>;

  auto ListObjects(ObjectKind kind,
                   Callback<std::vector<ConfigObject>> callback)
      -> void override {
    std::vector<ConfigObject> found;
    for (const auto& [key, object] : this->objects) {
      if (key.first == kind) {
        found.push_back(object);
      }
    }
    callback(found);
  }

  auto GetObject(ObjectKind kind,
                 std::string name,
                 Callback<ConfigObject> callback) -> void override {
    const auto found = this->objects.find({kind, name});
    if (found == this->objects.end()) {
      callback(AdminError{AdminError::Kind::kNotFound, "no " + name, {}});
    } else {
      callback(found->second);
    }
  }

  auto Edit(EditRequest request, EditCallback callback) -> void override {
    this->edits.push_back(request);
    if (this->edit_error) {
      callback(*this->edit_error);
      return;
    }
    const Key key{request.kind, request.name};
    const auto found = this->objects.find(key);
    const bool exists = found != this->objects.end();
    const std::uint64_t current = exists ? found->second.version : 0;
    if (current != request.expected_version) {
      callback(EditConflict{request.expected_version, current,
                            exists ? found->second.body : ""});
      return;
    }
    ++this->version;
    if (request.body) {
      this->objects[key] = ConfigObject{request.kind, request.name,
                                        this->version, *request.body};
    } else {
      this->objects.erase(key);
    }
    const EditDone done{this->version, request.body ? this->version : 0,
                        this->accepts};
    if (this->hold) {
      this->held.emplace_back([callback, done] { callback(done); });
    } else {
      callback(done);
    }
  }

  auto Release() -> void {
    for (const auto& answer : std::exchange(this->held, {})) {
      answer();
    }
  }

  auto ListPools(Callback<std::vector<PoolStatus>> callback) -> void override {
    callback(this->status.pools);
  }
  auto ListVms(VmFilter filter, Callback<std::vector<VmStatus>> callback)
      -> void override {
    this->filters.push_back(std::move(filter));
    callback(this->vms);
  }
  auto GetVm(VmId id, Callback<VmStatus> callback) -> void override {
    for (const VmStatus& vm : this->vms) {
      if (vm.record.id == id) {
        callback(vm);
        return;
      }
    }
    callback(AdminError{AdminError::Kind::kNotFound, "no VM", {}});
  }
  auto DeclareMaintenance(DeclareRequest request, Callback<WaveStatus> callback)
      -> void override {
    this->declared.push_back(request);
    WaveStatus wave;
    wave.id = WaveId(request.dry_run ? "" : request.key);
    wave.state = request.dry_run ? WaveState::kPlanned : WaveState::kDeclared;
    wave.selector = request.selector;
    wave.vms_total = 4;
    callback(wave);
  }
  auto ListWaves(Callback<std::vector<WaveStatus>> callback) -> void override {
    callback(this->status.waves);
  }
  auto GetWave(WaveId id, Callback<WaveStatus> callback) -> void override {
    WaveStatus wave;
    wave.id = std::move(id);
    wave.state = this->wave_state;
    callback(wave);
  }
  auto CancelWave(WaveId id, std::string, Callback<WaveStatus> callback)
      -> void override {
    WaveStatus wave;
    wave.id = std::move(id);
    wave.state = WaveState::kCancelled;
    callback(wave);
  }
  auto GetStatus(Callback<FleetStatus> callback) -> void override {
    callback(this->status);
  }
  auto WaitForConfig(std::uint64_t wanted,
                     Duration,
                     Callback<ConfigVersionStatus> callback) -> void override {
    ConfigVersionStatus answer;
    answer.committed = this->version;
    answer.accepted = this->version;
    if (wanted > this->version) {
      answer.behind.emplace_back("entry-2");
    }
    callback(answer);
  }
  auto ListHistory(HistoryQuery query,
                   Callback<std::vector<HistoryEntry>> callback)
      -> void override {
    this->queries.push_back(std::move(query));
    callback(this->history);
  }
  auto FindTrace(std::string trace_id, Callback<FoundTrace> callback)
      -> void override {
    if (this->spans.empty()) {
      callback(AdminError{AdminError::Kind::kNotFound, "no " + trace_id, {}});
    } else {
      callback(FoundTrace{this->spans, this->silent});
    }
  }
  auto GetReadiness() const -> Readiness override { return this->readiness; }
  auto RenderMetrics() const -> std::string override { return "up 1\n"; }

  std::map<Key, ConfigObject> objects;
  std::uint64_t version = 10;
  bool accepts = true;
  bool hold = false;
  std::optional<AdminError> edit_error;
  FleetStatus status;
  std::vector<VmStatus> vms;
  std::vector<EntryId> silent;
  std::vector<HistoryEntry> history;
  std::vector<Span> spans;
  WaveState wave_state = WaveState::kRunning;
  Readiness readiness{Readiness::State::kServing, ""};
  std::vector<EditRequest> edits;
  std::vector<DeclareRequest> declared;
  std::vector<VmFilter> filters;
  std::vector<HistoryQuery> queries;

 private:
  std::vector<std::function<void()>> held;
};

}  // namespace fireflythread::admin::test

#endif  // TEST_FIREFLYTHREAD_ADMIN_FAKE_BACKEND_H_
