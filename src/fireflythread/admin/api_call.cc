#include "fireflythread/admin/api_call.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "fireflythread/admin/admin_backend.h"
#include "fireflythread/admin/decode_request.h"
#include "fireflythread/admin/encode_status.h"
#include "fireflythread/admin/object_calls.h"
#include "fireflythread/telemetry/trace_context.h"

namespace fireflythread::admin {
namespace {

using internal::Respond;
using Segments = std::vector<std::string>;

constexpr std::size_t kLongestName = 200;

// Splits the path after "/v1/".
auto SplitPath(std::string_view path) -> Segments {
  path.remove_prefix(std::string_view("/v1/").size());
  Segments segments;
  while (true) {
    const std::size_t slash = path.find('/');
    segments.emplace_back(path.substr(0, slash));
    if (slash == std::string_view::npos) {
      return segments;
    }
    path.remove_prefix(slash + 1);
  }
}

auto IsGet(const AdminRequest& request) -> bool {
  return request.method == "GET" || request.method == "HEAD";
}

auto NotAllowed(std::string allowed) -> AdminResponse {
  AdminResponse response =
      MakeErrorResponse(405, "method_not_allowed", "allowed: " + allowed);
  response.headers.emplace_back("Allow", std::move(allowed));
  return response;
}

auto UnknownPath() -> AdminResponse {
  return MakeErrorResponse(404, "not_found", "the path is unknown");
}

// Responds with an encoded value or the backend's error.
template <typename T, typename EncodeValue>
auto RespondWith(const Respond& respond, int status, EncodeValue encode)
    -> AdminBackend::Callback<T> {
  return [respond, status, encode](std::variant<T, AdminError> result) -> void {
    if (const auto* error = std::get_if<AdminError>(&result)) {
      respond(MakeErrorResponse(*error));
      return;
    }
    respond(MakeJsonResponse(status, encode(std::get<T>(result))));
  };
}

template <typename T>
auto RespondWithOne(const Respond& respond, int status = 200)
    -> AdminBackend::Callback<T> {
  return RespondWith<T>(respond, status, [](const T& value) -> nlohmann::json {
    return Encode(value);
  });
}

template <typename T>
auto RespondWithList(const Respond& respond, const char* key)
    -> AdminBackend::Callback<std::vector<T>> {
  return RespondWith<std::vector<T>>(
      respond, 200, [key](const std::vector<T>& items) -> nlohmann::json {
        return EncodeList(key, items);
      });
}

// Gives the decoded value, or responds with the error.
template <typename T>
auto Take(Decoded<T> decoded, const Respond& respond) -> std::optional<T> {
  if (auto* error = std::get_if<AdminResponse>(&decoded)) {
    respond(std::move(*error));
    return std::nullopt;
  }
  return std::get<T>(std::move(decoded));
}

auto CallObjects(const AdminRequest& request,
                 const std::string& who,
                 ObjectKind kind,
                 const Segments& path,
                 AdminBackend& backend,
                 const Respond& respond) -> void {
  const bool is_edit = request.method == "PUT" || request.method == "DELETE";
  if (path.size() == 1 && IsGet(request)) {
    internal::ListObjects(kind, backend, respond);
  } else if (path.size() == 1) {
    respond(NotAllowed("GET"));
  } else if (path.size() != 2 || path[1].empty() ||
             path[1].size() > kLongestName) {
    respond(UnknownPath());
  } else if (IsGet(request)) {
    internal::GetObject(kind, path[1], backend, respond);
  } else if (is_edit) {
    internal::EditObject(request, kind, path[1], who, backend, respond);
  } else {
    respond(NotAllowed("GET, PUT, DELETE"));
  }
}

auto CallVms(const AdminRequest& request,
             const Segments& path,
             AdminBackend& backend,
             const Respond& respond) -> void {
  if (!IsGet(request)) {
    respond(NotAllowed("GET"));
  } else if (path.size() == 2) {
    backend.GetVm(VmId(path[1]), RespondWithOne<VmStatus>(respond));
  } else if (path.size() != 1) {
    respond(UnknownPath());
  } else if (auto filter = Take(DecodeVmFilter(request), respond)) {
    backend.ListVms(*filter, RespondWithList<VmStatus>(respond, "vms"));
  }
}

auto DrawKey() -> std::string {
  std::random_device device;
  Random random(std::uint64_t{device()} << 32 | device());
  return MakeTraceId(random);
}

auto Declare(const AdminRequest& request,
             const std::string& who,
             AdminBackend& backend,
             const Respond& respond) -> void {
  auto declare = Take(DecodeDeclare(request), respond);
  if (!declare) {
    return;
  }
  if (request.idempotency_key.size() > kLongestName) {
    respond(MakeErrorResponse(400, "bad_request",
                              "Idempotency-Key has more than 200 bytes"));
    return;
  }
  declare->who = who;
  declare->key =
      request.idempotency_key.empty() ? DrawKey() : request.idempotency_key;
  const int status = declare->dry_run ? 200 : 201;
  backend.DeclareMaintenance(std::move(*declare),
                             RespondWithOne<WaveStatus>(respond, status));
}

auto CallMaintenance(const AdminRequest& request,
                     const std::string& who,
                     const Segments& path,
                     AdminBackend& backend,
                     const Respond& respond) -> void {
  const bool is_post = request.method == "POST";
  if (path.size() == 1 && is_post) {
    Declare(request, who, backend, respond);
  } else if (path.size() == 1 && IsGet(request)) {
    backend.ListWaves(RespondWithList<WaveStatus>(respond, "waves"));
  } else if (path.size() == 2 && IsGet(request)) {
    backend.GetWave(WaveId(path[1]), RespondWithOne<WaveStatus>(respond));
  } else if (path.size() == 3 && path[2] == "cancel" && is_post) {
    backend.CancelWave(WaveId(path[1]), who,
                       RespondWithOne<WaveStatus>(respond));
  } else if (path.size() > 3 || (path.size() == 3 && path[2] != "cancel")) {
    respond(UnknownPath());
  } else {
    const char* const allowed[] = {"GET, POST", "GET", "POST"};
    respond(NotAllowed(allowed[path.size() - 1]));
  }
}

auto CallConfigVersion(const AdminRequest& request,
                       AdminBackend& backend,
                       const Respond& respond) -> void {
  const auto version =
      Take(DecodeNumber(request, "version", 0, 0, UINT64_MAX), respond);
  if (!version) {
    return;
  }
  const auto wait = Take(DecodeWait(request, Duration(0)), respond);
  if (!wait) {
    return;
  }
  backend.WaitForConfig(
      *version, *wait,
      [respond](std::variant<ConfigVersionStatus, AdminError> result) -> void {
        if (const auto* error = std::get_if<AdminError>(&result)) {
          respond(MakeErrorResponse(*error));
          return;
        }
        const auto& status = std::get<ConfigVersionStatus>(result);
        const int code = status.behind.empty() ? 200 : 202;
        respond(MakeJsonResponse(code, Encode(status)));
      });
}

auto CallHistory(const AdminRequest& request,
                 AdminBackend& backend,
                 const Respond& respond) -> void {
  if (auto query = Take(DecodeHistoryQuery(request), respond)) {
    backend.ListHistory(*query,
                        RespondWithList<HistoryEntry>(respond, "history"));
  }
}

auto CallTrace(const std::string& trace_id,
               AdminBackend& backend,
               const Respond& respond) -> void {
  if (!IsTraceId(trace_id)) {
    respond(MakeErrorResponse(
        400, "bad_request", "a trace id has 32 lower-case hexadecimal digits"));
    return;
  }
  const auto encode = [trace_id](const FoundTrace& trace) -> nlohmann::json {
    nlohmann::json list = nlohmann::json::array();
    for (const Span& span : trace.spans) {
      list.push_back(nlohmann::json::parse(FormatSpan(span)));
    }
    nlohmann::json silent = nlohmann::json::array();
    for (const EntryId& entry : trace.silent) {
      silent.push_back(entry.value);
    }
    return {{"trace_id", trace_id}, {"spans", list}, {"silent", silent}};
  };
  backend.FindTrace(trace_id, RespondWith<FoundTrace>(respond, 200, encode));
}

// The calls that only read.
auto CallRead(const AdminRequest& request,
              const Segments& path,
              AdminBackend& backend,
              const Respond& respond) -> void {
  const bool is_config_version =
      path.size() == 2 && path[0] == "config" && path[1] == "version";
  if (path.size() == 1 && path[0] == "status") {
    backend.GetStatus(RespondWithOne<FleetStatus>(respond));
  } else if (is_config_version) {
    CallConfigVersion(request, backend, respond);
  } else if (path.size() == 1 && path[0] == "history") {
    CallHistory(request, backend, respond);
  } else if (path.size() == 2 && path[0] == "traces") {
    CallTrace(path[1], backend, respond);
  } else {
    respond(UnknownPath());
  }
}

}  // namespace

auto StartApiCall(const AdminRequest& request,
                  const std::string& who,
                  AdminBackend& backend,
                  const std::function<void(AdminResponse)>& respond) -> void {
  const Segments path = SplitPath(request.path);
  if (const auto kind = ObjectKindFromCollection(path[0])) {
    CallObjects(request, who, *kind, path, backend, respond);
  } else if (path[0] == "vms") {
    CallVms(request, path, backend, respond);
  } else if (path[0] == "maintenance") {
    CallMaintenance(request, who, path, backend, respond);
  } else if (!IsGet(request)) {
    respond(NotAllowed("GET"));
  } else {
    CallRead(request, path, backend, respond);
  }
}

}  // namespace fireflythread::admin
