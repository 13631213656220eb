#include "fireflythread/ctl/object_verbs.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>

#include "fireflythread/ctl/api.h"
#include "fireflythread/ctl/config_verbs.h"
#include "fireflythread/ctl/json_text.h"
#include "fireflythread/ctl/object_edit.h"
#include "fireflythread/ctl/options.h"
#include "fireflythread/ctl/output.h"
#include "fireflythread/ctl/path.h"
#include "fireflythread/ctl/reply_check.h"
#include "fireflythread/ctl/table.h"

namespace fireflythread::ctl {
namespace {

using admin::ObjectKind;
using nlohmann::json;

auto Collection(ObjectKind kind) -> std::string {
  return fmt::format("/v1/{}", admin::ObjectKindCollection(kind));
}

auto ObjectPath(ObjectKind kind, const std::string& name) -> std::string {
  return fmt::format("{}/{}", Collection(kind), Escape(name));
}

auto Get(const std::string& path, Api& api) -> ApiReply {
  ApiRequest request;
  request.path = path;
  return api.Call(request);
}

// The columns that tell an operator most, by kind.
auto Columns(ObjectKind kind) -> std::vector<std::string> {
  switch (kind) {
    case ObjectKind::kProfile:
      return {"name",         "version",  "headroom",      "max_unavailable",
              "availability", "priority", "weight_buffer", "weight_rollout",
              "weight_moves"};
    case ObjectKind::kService:
      return {"name", "version", "pool", "profile", "default_deadline_ms"};
    case ObjectKind::kPool:
      return {"name",    "version", "min_vms",
              "max_vms", "spare",   "slots_per_worker"};
    case ObjectKind::kTeam:
      return {"name", "version", "max_in_flight", "max_rate", "weight"};
  }
  return {"name", "version"};
}

auto UpperCase(std::string text) -> std::string {
  std::ranges::transform(text, text.begin(), [](char c) -> char {
    return c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
  });
  return text;
}

auto RenderList(ObjectKind kind, const json& objects) -> std::string {
  const std::vector<std::string> columns = Columns(kind);
  std::vector<std::string> header;
  header.reserve(columns.size());
  for (const std::string& column : columns) {
    header.push_back(UpperCase(column));
  }
  const bool is_pool = kind == ObjectKind::kPool;
  if (is_pool) {
    header.insert(header.end(), {"VMS", "SERVING", "NEEDED", "BUDGET_LEFT"});
  }
  Table table(header);
  for (const json& object : objects) {
    std::vector<std::string> row;
    row.reserve(header.size());
    for (const std::string& column : columns) {
      row.push_back(Text(object, column));
    }
    if (is_pool) {
      const json status = object.value("status", json::object());
      for (const char* key : {"vms", "serving", "needed", "budget_left"}) {
        row.push_back(Text(status, key));
      }
    }
    table.Add(row);
  }
  return table.Render();
}

auto RenderObject(const json& object) -> std::string {
  Table table({"FIELD", "VALUE"});
  for (const auto& item : object.items()) {
    if (item.key() != "status") {
      table.Add({item.key(), Text(item.value())});
    }
  }
  const json status = object.value("status", json::object());
  for (const auto& item : status.items()) {
    table.Add({"status." + item.key(), Text(item.value())});
  }
  return table.Render();
}

// Reports a committed edit, and waits for its acceptance if asked to.
auto FinishEdit(const Options& options,
                const ApiReply& reply,
                Api& api,
                Output& output) -> ExitCode {
  if (options.json) {
    output.out += reply.json.dump(2) + "\n";
  } else {
    output.out += fmt::format(
        "{} version {}, configuration version {}: {}\n",
        Printable(Text(reply.json, "name")), Text(reply.json, "version"),
        Text(reply.json, "config_version"), Text(reply.json, "state"));
  }
  if (reply.status != 202 || !options.wait) {
    return ExitCode::kOk;
  }
  const auto version =
      static_cast<std::uint64_t>(Number(reply.json, "config_version"));
  return WaitForAcceptance(version, options.timeout, api, output);
}

// Sends an edit; `mine` is shown beside the current object on a conflict.
auto SendEdit(const Options& options,
              const ApiRequest& edit,
              const json& mine,
              Api& api,
              Output& output) -> ExitCode {
  const ApiReply reply = api.Call(edit);
  const ExitCode code = CheckReply(reply, output);
  if (code == ExitCode::kConflict) {
    const json error = reply.json.value("error", json::object());
    output.err += RenderConflict(mine, error);
    output.err +=
        "nothing was changed; repeat the command to edit the current "
        "version\n";
  }
  return code == ExitCode::kOk ? FinishEdit(options, reply, api, output) : code;
}

}  // namespace

auto ListObjects(ObjectKind kind,
                 const Options& options,
                 Api& api,
                 Output& output) -> ExitCode {
  const ApiReply reply = Get(Collection(kind), api);
  const ExitCode code = CheckReply(reply, output);
  if (code == ExitCode::kOk) {
    const std::string key(admin::ObjectKindCollection(kind));
    output.out += options.json ? reply.json.dump(2) + "\n"
                               : RenderList(kind, List(reply.json, key));
  }
  return code;
}

auto ShowObject(ObjectKind kind,
                const Options& options,
                const Arguments& arguments,
                Api& api,
                Output& output) -> ExitCode {
  const ApiReply reply = Get(ObjectPath(kind, arguments[0]), api);
  const ExitCode code = CheckReply(reply, output);
  if (code == ExitCode::kOk) {
    output.out +=
        options.json ? reply.json.dump(2) + "\n" : RenderObject(reply.json);
  }
  return code;
}

auto SetObject(ObjectKind kind,
               const Options& options,
               const Arguments& arguments,
               Api& api,
               Output& output) -> ExitCode {
  const std::string path = ObjectPath(kind, arguments[0]);
  const ApiReply current = Get(path, api);
  if (current.status != 200 && current.status != 404) {
    return CheckReply(current, output);
  }
  json object = current.status == 200 ? current.json : json::object();
  const std::string version =
      current.status == 200 ? Text(object, "version") : "0";
  const std::vector<std::string> fields(arguments.begin() + 1, arguments.end());
  if (const auto wrong = ApplyFields(fields, object)) {
    output.err += fmt::format("\"{}\" is not key=value\n", Printable(*wrong));
    return ExitCode::kUsage;
  }
  ApiRequest edit;
  edit.method = "PUT";
  edit.path = path;
  edit.headers = {{"If-Match", version}};
  edit.body = object.dump(-1, ' ', false, json::error_handler_t::replace);
  return SendEdit(options, edit, object, api, output);
}

auto DeleteObject(ObjectKind kind,
                  const Options& options,
                  const Arguments& arguments,
                  Api& api,
                  Output& output) -> ExitCode {
  ApiRequest edit;
  edit.method = "DELETE";
  edit.path = ObjectPath(kind, arguments[0]);
  const ApiReply current = Get(edit.path, api);
  const ExitCode code = CheckReply(current, output);
  if (code != ExitCode::kOk) {
    return code;
  }
  edit.headers = {{"If-Match", Text(current.json, "version")}};
  return SendEdit(options, edit, current.json, api, output);
}

}  // namespace fireflythread::ctl
