#include "fireflythread/admin/object_calls.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "fireflythread/admin/admin_backend.h"
#include "fireflythread/admin/decode_request.h"
#include "fireflythread/admin/encode_status.h"

namespace fireflythread::admin::internal {
namespace {

using Objects = std::vector<ConfigObject>;
using Pools = std::vector<PoolStatus>;

// What most edits need to reach a majority; the p99 at 8 entries is 2 s.
constexpr Duration kDefaultWait = std::chrono::seconds(2);

auto FindStatus(const Pools& pools, const std::string& name) -> PoolStatus {
  const auto found = std::ranges::find_if(
      pools,
      [&](const PoolStatus& pool) -> bool { return pool.name.value == name; });
  PoolStatus absent;
  absent.name = PoolName(name);
  return found == pools.end() ? absent : *found;
}

auto EncodePools(const Objects& objects, const Pools& pools) -> nlohmann::json {
  nlohmann::json list = nlohmann::json::array();
  for (const ConfigObject& object : objects) {
    list.push_back(Encode(object, FindStatus(pools, object.name)));
  }
  return {{"pools", list}};
}

auto AddPoolStatus(Objects objects,
                   AdminBackend& backend,
                   const Respond& respond) -> void {
  backend.ListPools([objects = std::move(objects),
                     respond](std::variant<Pools, AdminError> result) -> void {
    if (const auto* error = std::get_if<AdminError>(&result)) {
      respond(MakeErrorResponse(*error));
      return;
    }
    respond(
        MakeJsonResponse(200, EncodePools(objects, std::get<Pools>(result))));
  });
}

auto RespondWithObject(const ConfigObject& object,
                       AdminBackend& backend,
                       const Respond& respond) -> void {
  const std::pair<std::string, std::string> etag(
      "ETag", fmt::format("\"{}\"", object.version));
  if (object.kind != ObjectKind::kPool) {
    AdminResponse response = MakeJsonResponse(200, Encode(object));
    response.headers.push_back(etag);
    respond(std::move(response));
    return;
  }
  backend.ListPools([object, etag,
                     respond](std::variant<Pools, AdminError> result) -> void {
    if (const auto* error = std::get_if<AdminError>(&result)) {
      respond(MakeErrorResponse(*error));
      return;
    }
    const PoolStatus status = FindStatus(std::get<Pools>(result), object.name);
    AdminResponse response = MakeJsonResponse(200, Encode(object, status));
    response.headers.push_back(etag);
    respond(std::move(response));
  });
}

auto MakeEditResponse(const std::string& name, const EditResult& result)
    -> AdminResponse {
  if (const auto* conflict = std::get_if<EditConflict>(&result)) {
    return MakeConflictResponse(*conflict);
  }
  if (const auto* error = std::get_if<AdminError>(&result)) {
    return MakeErrorResponse(*error);
  }
  const EditDone& done = std::get<EditDone>(result);
  nlohmann::json body = {{"name", name},
                         {"version", done.object_version},
                         {"config_version", done.config_version},
                         {"state", done.accepted ? "accepted" : "pending"}};
  if (!done.accepted) {
    body["missing_cells"] = nlohmann::json::array();
    for (const CellName& cell : done.missing_cells) {
      body["missing_cells"].push_back(cell.value);
    }
  }
  return MakeJsonResponse(done.accepted ? 200 : 202, body);
}

}  // namespace

auto ListObjects(ObjectKind kind, AdminBackend& backend, const Respond& respond)
    -> void {
  backend.ListObjects(kind, [kind, &backend, respond](
                                std::variant<Objects, AdminError> result) {
    if (const auto* error = std::get_if<AdminError>(&result)) {
      respond(MakeErrorResponse(*error));
    } else if (kind == ObjectKind::kPool) {
      AddPoolStatus(std::get<Objects>(std::move(result)), backend, respond);
    } else {
      const std::string key(ObjectKindCollection(kind));
      respond(MakeJsonResponse(
          200, EncodeList(key.c_str(), std::get<Objects>(result))));
    }
  });
}

auto GetObject(ObjectKind kind,
               const std::string& name,
               AdminBackend& backend,
               const Respond& respond) -> void {
  backend.GetObject(
      kind, name,
      [&backend, respond](std::variant<ConfigObject, AdminError> result) {
        if (const auto* error = std::get_if<AdminError>(&result)) {
          respond(MakeErrorResponse(*error));
          return;
        }
        RespondWithObject(std::get<ConfigObject>(result), backend, respond);
      });
}

auto EditObject(const AdminRequest& request,
                ObjectKind kind,
                const std::string& name,
                const std::string& who,
                AdminBackend& backend,
                const Respond& respond) -> void {
  EditRequest edit;
  edit.kind = kind;
  edit.name = name;
  edit.who = who;
  auto version = DecodeExpectedVersion(request);
  auto wait = DecodeWait(request, kDefaultWait);
  if (auto* error = std::get_if<AdminResponse>(&version)) {
    respond(std::move(*error));
    return;
  }
  if (auto* error = std::get_if<AdminResponse>(&wait)) {
    respond(std::move(*error));
    return;
  }
  edit.expected_version = std::get<std::uint64_t>(version);
  edit.wait = std::get<Duration>(wait);
  if (request.method == "PUT") {
    auto body = DecodeObjectBody(request, name);
    if (auto* error = std::get_if<AdminResponse>(&body)) {
      respond(std::move(*error));
      return;
    }
    edit.body = std::get<std::string>(std::move(body));
  }
  backend.Edit(std::move(edit),
               [name, respond](const EditResult& result) -> void {
                 respond(MakeEditResponse(name, result));
               });
}

}  // namespace fireflythread::admin::internal
