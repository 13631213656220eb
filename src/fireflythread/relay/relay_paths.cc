#include "fireflythread/relay/relay_paths.h"

#include "fireflythread/relay/path_choice.h"
#include "fireflythread/relay/pending_orders.h"

namespace fireflythread {
namespace {

auto FindPath(RelayPaths& state, const EntryId& helper) -> RelayPath* {
  const auto found = state.paths.find(helper);
  return found == state.paths.end() ? nullptr : &found->second;
}

auto SetHelper(RelayPath& path, const RelayCandidate& helper) -> void {
  if (path.incarnation != helper.incarnation ||
      path.address != helper.address) {
    path = RelayPath{};
    path.entry = helper.entry;
    path.incarnation = helper.incarnation;
    path.address = helper.address;
    path.hash = HashName(helper.entry.value);
  }
  path.weight = helper.weight;
  path.wanted = true;
}

/// Hellos begin again at once, so that the path opens with the next welcome.
auto Close(RelayPath& path) -> void {
  path.welcomed = false;
  path.next_hello = TimePoint{};
}

}  // namespace

auto SetHelpers(RelayPaths& state, const std::vector<RelayCandidate>& helpers)
    -> void {
  for (auto& [id, path] : state.paths) {
    path.wanted = false;
  }
  for (const RelayCandidate& helper : helpers) {
    SetHelper(state.paths[helper.entry], helper);
  }
}

auto TakeDueHellos(RelayPaths& state, TimePoint now) -> std::vector<EntryId> {
  std::vector<EntryId> due;
  for (auto& [id, path] : state.paths) {
    if (path.wanted && now >= path.next_hello) {
      path.next_hello = now + (path.welcomed ? kHelloPeriod : kHelloRetry);
      due.push_back(id);
    }
  }
  return due;
}

auto TakeWelcome(RelayPaths& state,
                 const EntryId& helper,
                 std::uint64_t incarnation,
                 bool stopping,
                 TimePoint now) -> bool {
  RelayPath* path = FindPath(state, helper);
  if (path == nullptr || path->incarnation != incarnation) {
    return false;
  }
  const bool opens = !path->welcomed && path->wanted && !stopping;
  path->welcomed = true;
  path->stopping = path->stopping || stopping;
  path->heard_at = now;
  return opens;
}

auto NoteReplies(RelayPaths& state,
                 const EntryId& helper,
                 bool stopping,
                 TimePoint now) -> void {
  if (RelayPath* path = FindPath(state, helper)) {
    path->heard_at = now;
    path->stopping = path->stopping || stopping;
  }
}

auto NoteBusy(RelayPaths& state, const EntryId& helper, TimePoint now) -> bool {
  RelayPath* path = FindPath(state, helper);
  if (path == nullptr) {
    return false;
  }
  const bool begins = now >= path->busy_until;
  path->busy_until = now + kBusyPause;
  return begins;
}

auto NoteSendFailure(RelayPaths& state, const EntryId& helper) -> bool {
  RelayPath* path = FindPath(state, helper);
  if (path == nullptr || !path->welcomed) {
    return false;
  }
  Close(*path);
  return true;
}

auto NoteUnanswered(RelayPaths& state,
                    const EntryId& helper,
                    TimePoint sent_at,
                    TimePoint now) -> bool {
  RelayPath* path = FindPath(state, helper);
  if (path == nullptr || path->heard_at >= sent_at ||
      now < path->paused_until) {
    return false;
  }
  path->paused_until = now + kPathPause;
  Close(*path);
  return true;
}

auto CloseSilentPaths(RelayPaths& state, TimePoint now)
    -> std::vector<EntryId> {
  std::vector<EntryId> closed;
  for (auto& [id, path] : state.paths) {
    if (path.welcomed && now - path.heard_at >= kPathSilence) {
      Close(path);
      closed.push_back(id);
    }
  }
  return closed;
}

auto DropUnwanted(RelayPaths& state, const PendingOrders& pending)
    -> std::vector<EntryId> {
  std::vector<EntryId> dropped;
  for (auto path = state.paths.begin(); path != state.paths.end();) {
    if (path->second.wanted || HasPending(pending, path->first)) {
      ++path;
      continue;
    }
    dropped.push_back(path->first);
    path = state.paths.erase(path);
  }
  return dropped;
}

auto IsUsable(const RelayPath& path, TimePoint now) -> bool {
  return path.wanted && path.welcomed && !path.stopping &&
         now >= path.paused_until && now >= path.busy_until;
}

}  // namespace fireflythread
