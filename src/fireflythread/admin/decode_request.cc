#include "fireflythread/admin/decode_request.h"

#include <fmt/format.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "fireflythread/admin/vm_status.h"

namespace fireflythread::admin {
namespace {

using Json = nlohmann::json;

// Objects of the configuration nest three deep.
constexpr int kDeepestJson = 16;
constexpr std::size_t kLongestText = 1000;

auto BadRequest(std::string_view message) -> AdminResponse {
  return MakeErrorResponse(400, "bad_request", message);
}

auto Invalid(std::string_view message, const std::vector<std::string>& details)
    -> AdminResponse {
  return MakeErrorResponse(422, "invalid", message, details);
}

auto ParseNumber(std::string_view text) -> std::optional<std::uint64_t> {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (text.empty() || error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return number;
}

// Gives a JSON object of bounded depth.
auto ParseObject(const std::string& body) -> Decoded<Json> {
  bool too_deep = false;
  const auto limit_depth = [&](int depth, Json::parse_event_t /*event*/,
                               Json& /*value*/) -> bool {
    too_deep = too_deep || depth > kDeepestJson;
    return !too_deep;
  };
  Json json = Json::parse(body, limit_depth, false);
  if (too_deep) {
    return BadRequest("the body is nested more than 16 deep");
  }
  if (json.is_discarded() || !json.is_object()) {
    return BadRequest("the body is not a JSON object");
  }
  return json;
}

auto Find(const AdminRequest& request, const std::string& key)
    -> std::optional<std::string> {
  const auto found = request.query.find(key);
  return found == request.query.end() ? std::nullopt
                                      : std::optional(found->second);
}

template <typename T>
auto FindId(const AdminRequest& request, const std::string& key)
    -> std::optional<T> {
  const auto text = Find(request, key);
  return text ? std::optional<T>(T(*text)) : std::nullopt;
}

template <typename T>
auto ReadIds(const std::string& key,
             const Json& value,
             std::vector<T>& ids,
             std::vector<std::string>& faults) -> void {
  if (!value.is_array()) {
    faults.push_back(key + ": must be a list of names");
    return;
  }
  for (const Json& item : value) {
    if (!item.is_string() || item.get_ref<const std::string&>().empty()) {
      faults.push_back(key + ": must be a list of names");
      return;
    }
    ids.emplace_back(item.get<std::string>());
  }
}

auto ReadText(const Json& value,
              std::string& text,
              std::vector<std::string>& faults) -> void {
  if (!value.is_string() ||
      value.get_ref<const std::string&>().size() > kLongestText) {
    faults.emplace_back("reason: must be a text of at most 1000 bytes");
    return;
  }
  text = value.get<std::string>();
}

auto ReadDeclareField(const std::string& key,
                      const Json& value,
                      DeclareRequest& declare,
                      std::vector<std::string>& faults) -> void {
  if (key == "zones") {
    ReadIds(key, value, declare.selector.zones, faults);
  } else if (key == "racks") {
    ReadIds(key, value, declare.selector.racks, faults);
  } else if (key == "pools") {
    ReadIds(key, value, declare.selector.pools, faults);
  } else if (key == "vms") {
    ReadIds(key, value, declare.selector.vms, faults);
  } else if (key == "reason") {
    ReadText(value, declare.reason, faults);
  } else if (key == "dry_run" && value.is_boolean()) {
    declare.dry_run = value.get<bool>();
  } else if (key == "dry_run") {
    faults.emplace_back("dry_run: must be true or false");
  } else {
    faults.push_back(key + ": unknown; known are zones, racks, pools, vms, " +
                     "reason, dry_run");
  }
}

auto FindVmState(const std::string& text) -> std::optional<VmState> {
  for (int i = 0; i <= static_cast<int>(VmState::kFailed); ++i) {
    const auto state = static_cast<VmState>(i);
    if (FormatVmState(state) == text) {
      return state;
    }
  }
  return std::nullopt;
}

}  // namespace

auto DecodeExpectedVersion(const AdminRequest& request)
    -> Decoded<std::uint64_t> {
  if (request.if_match.empty() && request.if_none_match == "*") {
    return std::uint64_t{0};
  }
  if (request.if_match.empty()) {
    return MakeErrorResponse(
        428, "precondition_required",
        "If-Match must state the version that was edited; 0 for a new object");
  }
  std::string_view text = request.if_match;
  if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
    text = text.substr(1, text.size() - 2);
  }
  const auto version = ParseNumber(text);
  if (!version) {
    return BadRequest("If-Match must be one version, e.g. \"12\"");
  }
  return *version;
}

auto DecodeObjectBody(const AdminRequest& request, const std::string& name)
    -> Decoded<std::string> {
  Decoded<Json> parsed = ParseObject(request.body);
  if (auto* error = std::get_if<AdminResponse>(&parsed)) {
    return std::move(*error);
  }
  Json& json = std::get<Json>(parsed);
  if (json.contains("name") && json["name"] != name) {
    return Invalid("the object is not valid",
                   {"name: differs from the name in the path"});
  }
  json["name"] = name;
  json.erase("version");
  json.erase("status");
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto DecodeDeclare(const AdminRequest& request) -> Decoded<DeclareRequest> {
  Decoded<Json> parsed = ParseObject(request.body);
  if (auto* error = std::get_if<AdminResponse>(&parsed)) {
    return std::move(*error);
  }
  DeclareRequest declare;
  std::vector<std::string> faults;
  for (const auto& item : std::get<Json>(parsed).items()) {
    ReadDeclareField(item.key(), item.value(), declare, faults);
  }
  if (faults.empty() && declare.selector == WaveSelector()) {
    faults.emplace_back("one of zones, racks, pools, vms must name something");
  }
  if (!faults.empty()) {
    return Invalid("the maintenance order is not valid", faults);
  }
  return declare;
}

auto DecodeVmFilter(const AdminRequest& request) -> Decoded<VmFilter> {
  VmFilter filter;
  filter.pool = FindId<PoolName>(request, "pool");
  filter.zone = FindId<ZoneName>(request, "zone");
  filter.rack = FindId<RackName>(request, "rack");
  if (const auto state = Find(request, "state")) {
    filter.state = FindVmState(*state);
    if (!filter.state) {
      return BadRequest(
          "state must be serving, draining, drained, rebooting, verifying or "
          "failed");
    }
  }
  return filter;
}

auto DecodeHistoryQuery(const AdminRequest& request) -> Decoded<HistoryQuery> {
  constexpr std::uint64_t kMostEntries = 1000;
  HistoryQuery query;
  auto before = DecodeNumber(request, "before", 0, 0, UINT64_MAX);
  auto limit = DecodeNumber(request, "limit", query.limit, 1, kMostEntries);
  for (auto* number : {&before, &limit}) {
    if (auto* error = std::get_if<AdminResponse>(number)) {
      return std::move(*error);
    }
  }
  query.before = std::get<std::uint64_t>(before);
  query.limit = static_cast<int>(std::get<std::uint64_t>(limit));
  if (const auto kind = Find(request, "kind")) {
    // The query names the kind as the history does, e.g. "profile".
    query.kind = ObjectKindFromCollection(*kind + "s");
    if (!query.kind) {
      return BadRequest("kind must be profile, service, pool or team");
    }
  }
  query.name = Find(request, "name").value_or("");
  return query;
}

auto DecodeWait(const AdminRequest& request, Duration otherwise)
    -> Decoded<Duration> {
  using std::chrono::milliseconds;
  constexpr std::uint64_t kLongestWaitMs = 30000;
  const auto otherwise_ms = std::chrono::duration_cast<milliseconds>(otherwise);
  auto number =
      DecodeNumber(request, "wait_ms", otherwise_ms.count(), 0, kLongestWaitMs);
  if (auto* error = std::get_if<AdminResponse>(&number)) {
    return std::move(*error);
  }
  return Duration(milliseconds(std::get<std::uint64_t>(number)));
}

auto DecodeNumber(const AdminRequest& request,
                  const std::string& key,
                  std::uint64_t otherwise,
                  std::uint64_t min,
                  std::uint64_t max) -> Decoded<std::uint64_t> {
  const auto text = Find(request, key);
  if (!text) {
    return otherwise;
  }
  const auto number = ParseNumber(*text);
  if (!number || *number < min || *number > max) {
    return BadRequest(
        fmt::format("{} must be a whole number from {} to {}", key, min, max));
  }
  return *number;
}

}  // namespace fireflythread::admin
