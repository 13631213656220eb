#include "fireflythread/ctl/render_trace.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "fireflythread/ctl/json_text.h"
#include "fireflythread/ctl/table.h"

namespace fireflythread::ctl {
namespace {

using nlohmann::json;

// A span whose parent another process holds is shown at the top.
struct Tree {
  std::map<std::string, std::vector<json>> children;
  std::vector<json> roots;
  double begin = 0;
};

// Times are texts in nanoseconds, as OpenTelemetry writes them. A double holds
// them to a microsecond.
auto Nanoseconds(const json& span, const char* key) -> double {
  return std::strtod(Text(span, key).c_str(), nullptr);
}

auto BuildTree(const json& spans) -> Tree {
  std::vector<json> sorted(spans.begin(), spans.end());
  std::ranges::stable_sort(sorted, {}, [](const json& span) -> double {
    return Nanoseconds(span, "startTimeUnixNano");
  });
  std::set<std::string> ids;
  for (const json& span : sorted) {
    ids.insert(Text(span, "spanId"));
  }
  Tree tree;
  for (const json& span : sorted) {
    const std::string parent = Text(span, "parentSpanId");
    if (ids.contains(parent) && parent != Text(span, "spanId")) {
      tree.children[parent].push_back(span);
    } else {
      tree.roots.push_back(span);
    }
  }
  if (!sorted.empty()) {
    tree.begin = Nanoseconds(sorted.front(), "startTimeUnixNano");
  }
  return tree;
}

auto Attribute(const json& span, const std::string& name) -> std::string {
  for (const json& attribute : List(span, "attributes")) {
    if (Text(attribute, "key") == name) {
      const json value = attribute.value("value", json::object());
      return value.is_object() && !value.empty() ? Text(*value.begin()) : "-";
    }
  }
  return "-";
}

auto StatusText(const json& span) -> std::string {
  constexpr int kError = 2;
  const json status = span.value("status", json::object());
  if (static_cast<int>(Number(status, "code")) != kError) {
    return "ok";
  }
  return "failed: " + Text(status, "message");
}

// Each span is taken out of the tree as it is shown, so that spans which name
// each other as parent end the recursion.
auto AddSpan(const json& span, std::size_t depth, Tree& tree, Table& table)
    -> void {
  constexpr double kNanosecondsPerMillisecond = 1e6;
  constexpr std::size_t kDeepest = 64;
  const double begin = Nanoseconds(span, "startTimeUnixNano");
  const double end = Nanoseconds(span, "endTimeUnixNano");
  table.Add(
      {std::string(2 * std::min(depth, kDeepest), ' ') + Text(span, "name"),
       fmt::format("{:.1f}", (begin - tree.begin) / kNanosecondsPerMillisecond),
       fmt::format("{:.1f}", (end - begin) / kNanosecondsPerMillisecond),
       Attribute(span, "service.instance.id"), StatusText(span)});
  const auto children = tree.children.extract(Text(span, "spanId"));
  if (!children.empty()) {
    for (const json& child : children.mapped()) {
      AddSpan(child, depth + 1, tree, table);
    }
  }
}

}  // namespace

auto RenderTrace(const json& trace) -> std::string {
  Tree tree = BuildTree(List(trace, "spans"));
  Table table({"SPAN", "BEGIN MS", "DURATION MS", "ENTRY", "STATUS"});
  for (const json& root : tree.roots) {
    AddSpan(root, 0, tree, table);
  }
  // What is left belongs to cycles.
  while (!tree.children.empty()) {
    const auto rest = tree.children.extract(tree.children.begin());
    for (const json& span : rest.mapped()) {
      AddSpan(span, 0, tree, table);
    }
  }
  std::string text =
      fmt::format("trace {}\n", Printable(Text(trace, "trace_id"))) +
      table.Render();
  for (const json& entry : List(trace, "silent")) {
    text += fmt::format("{} did not answer and may hold further spans\n",
                        Printable(Text(entry)));
  }
  return text;
}

}  // namespace fireflythread::ctl
