#include "fireflythread/ctl/config_verbs.h"
#include "fireflythread/ctl/maintenance_verbs.h"
#include "fireflythread/ctl/object_verbs.h"
#include "fireflythread/ctl/options.h"
#include "fireflythread/ctl/verb.h"
#include "fireflythread/ctl/view_verbs.h"

namespace fireflythread::ctl {
namespace {

using admin::ObjectKind;

constexpr std::size_t kManyArguments = 100;

constexpr std::string_view kListDetails = "Prints one line for each object.\n";
constexpr std::string_view kShowDetails =
    "Prints the object's fields, its version and, for a pool, its state now.\n";
constexpr std::string_view kSetDetails =
    "Reads the object, sets the given fields and sends it back with the\n"
    "version that was read. An object that does not exist is created. A value\n"
    "that reads as JSON is taken as such, any other as text; \"key=\" puts "
    "the\n"
    "field back to its default. When somebody else edited the object in\n"
    "between, nothing is changed, both versions are shown and the exit code\n"
    "is 3.\n"
    "  --wait       wait until a majority of the entries has applied the edit\n"
    "  --timeout=T  how long to wait (30s); exit code 5 after it\n";
constexpr std::string_view kDeleteDetails =
    "Deletes the version of the object that is current now.\n"
    "  --wait, --timeout=T  as for set\n";

template <ObjectKind kKind>
auto List(const Options& options,
          const Arguments& /*arguments*/,
          Api& api,
          Output& output) -> ExitCode {
  return ListObjects(kKind, options, api, output);
}

template <ObjectKind kKind>
auto Show(const Options& options,
          const Arguments& arguments,
          Api& api,
          Output& output) -> ExitCode {
  return ShowObject(kKind, options, arguments, api, output);
}

template <ObjectKind kKind>
auto Set(const Options& options,
         const Arguments& arguments,
         Api& api,
         Output& output) -> ExitCode {
  return SetObject(kKind, options, arguments, api, output);
}

template <ObjectKind kKind>
auto Delete(const Options& options,
            const Arguments& arguments,
            Api& api,
            Output& output) -> ExitCode {
  return DeleteObject(kKind, options, arguments, api, output);
}

template <ObjectKind kKind>
constexpr auto ListVerb(std::string_view group, std::string_view summary)
    -> Verb {
  return {group, "list", "", summary, kListDetails, 0, 0, &List<kKind>};
}

template <ObjectKind kKind>
constexpr auto ShowVerb(std::string_view group, std::string_view summary)
    -> Verb {
  return {group, "show", "NAME", summary, kShowDetails, 1, 1, &Show<kKind>};
}

template <ObjectKind kKind>
constexpr auto SetVerb(std::string_view group, std::string_view summary)
    -> Verb {
  return {group,       "set", "NAME KEY=VALUE...", summary,
          kSetDetails, 2,     kManyArguments,      &Set<kKind>};
}

template <ObjectKind kKind>
constexpr auto DeleteVerb(std::string_view group, std::string_view summary)
    -> Verb {
  return {group,          "delete", "NAME", summary,
          kDeleteDetails, 1,        1,      &Delete<kKind>};
}

constexpr Verb kVerbs[] = {
    {"status", "", "", "show the fleet on one screen",
     "Entries with their configuration version, the controller and its lease,\n"
     "pools with headroom and the maintenance budget left, VMs by state, "
     "waves\n"
     "with progress and expected end, and what is blocked and why. The entry\n"
     "that answers is marked with *.\n",
     0, 0, &ShowStatus},
    ListVerb<ObjectKind::kProfile>("profile", "list the capacity profiles"),
    ShowVerb<ObjectKind::kProfile>("profile", "show a capacity profile"),
    SetVerb<ObjectKind::kProfile>("profile", "create or edit a profile"),
    DeleteVerb<ObjectKind::kProfile>("profile", "delete a profile"),
    ListVerb<ObjectKind::kService>("service", "list the services"),
    ShowVerb<ObjectKind::kService>("service", "show a service"),
    SetVerb<ObjectKind::kService>("service", "create or edit a service"),
    DeleteVerb<ObjectKind::kService>("service", "delete a service"),
    ListVerb<ObjectKind::kPool>("pool", "list the pools and their state"),
    ShowVerb<ObjectKind::kPool>("pool", "show a pool and its state"),
    SetVerb<ObjectKind::kPool>("pool", "create or edit a pool"),
    DeleteVerb<ObjectKind::kPool>("pool", "delete a pool"),
    ListVerb<ObjectKind::kTeam>("team", "list the teams' quotas"),
    ShowVerb<ObjectKind::kTeam>("team", "show a team's quota"),
    SetVerb<ObjectKind::kTeam>("team", "create or edit a team's quota"),
    DeleteVerb<ObjectKind::kTeam>("team", "delete a team's quota"),
    {"vm", "list", "", "list VMs and their state",
     "  --pool, --zone, --rack, --state  only VMs of this one\n", 0, 0,
     &ListVms},
    {"vm", "show", "ID", "show a VM", "Prints all that is known of the VM.\n",
     1, 1, &ShowVm},
    {"maintenance", "declare", "", "declare a maintenance wave",
     "  --zone, --rack, --pool, --vm  what to take; names separated by commas\n"
     "  --reason=TEXT  shown beside the wave\n"
     "  --dry-run      show the plan and what blocks it, and declare nothing\n"
     "  --wait         wait until the wave is done\n"
     "  --timeout=T    how long to wait (30s); exit code 5 after it\n",
     0, 0, &DeclareMaintenance},
    {"maintenance", "list", "", "list the maintenance waves", "", 0, 0,
     &ListMaintenance},
    {"maintenance", "show", "ID", "show a wave, its plan and what blocks it",
     "  --wait, --timeout=T  wait until the wave is done\n", 1, 1,
     &ShowMaintenance},
    {"maintenance", "cancel", "ID", "cancel a wave",
     "VMs that are already drained are finished; no further ones are taken.\n",
     1, 1, &CancelMaintenance},
    {"config", "version", "", "show which configuration is in force where", "",
     0, 0, &ShowConfigVersion},
    {"config", "wait", "[VERSION]",
     "wait until a version is in force everywhere",
     "Without VERSION the newest one. Entries that do not serve do not count.\n"
     "  --timeout=T  how long to wait (30s); exit code 5 after it\n",
     0, 1, &WaitForConfig},
    {"history", "", "[KIND/NAME]", "list the edits, newest first",
     "  --limit=N   at most N edits (100), up to 1000\n"
     "  --before=N  only edits before version N\n",
     0, 1, &ShowHistory},
    {"trace", "show", "ID", "show a request's spans as a tree with times",
     "ID is the trace id in logs and in the request's traceparent header.\n", 1,
     1, &ShowTrace},
};

}  // namespace

auto Verbs() -> std::span<const Verb> {
  return kVerbs;
}

}  // namespace fireflythread::ctl
