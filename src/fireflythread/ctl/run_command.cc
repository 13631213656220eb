#include "fireflythread/ctl/run_command.h"

#include <fmt/format.h>

#include "fireflythread/ctl/output.h"
#include "fireflythread/ctl/table.h"
#include "fireflythread/ctl/verb.h"

namespace fireflythread::ctl {
namespace {

constexpr std::string_view kFlags =
    "Flags:\n"
    "  --server=URL         entry to ask, e.g. http://127.0.0.1:8101;\n"
    "                       default: FIREFLYTHREAD_SERVER\n"
    "  --token-file=FILE    file with the bearer token;\n"
    "                       default: FIREFLYTHREAD_TOKEN_FILE\n"
    "  --ca-file=FILE       certificates to trust instead of the system's\n"
    "  --output=table|json  form of the result (table)\n"
    "  --wait               wait for the end of what the verb starts\n"
    "  --timeout=TIME       how long to wait, e.g. 30s or 2min (30s)\n"
    "  --help               this help, or that of the verb before it\n";

constexpr std::string_view kExitCodes =
    "Exit codes:\n"
    "  0  done\n"
    "  1  the server refused it or failed\n"
    "  2  wrong arguments\n"
    "  3  conflict: somebody else edited the object first\n"
    "  4  not found\n"
    "  5  not accepted, in force or done within --timeout\n"
    "  6  the server cannot be reached\n"
    "  7  the token is missing, unknown or has too small a role\n";

auto NameOf(const Verb& verb) -> std::string {
  return verb.action.empty() ? std::string(verb.group)
                             : fmt::format("{} {}", verb.group, verb.action);
}

auto UsageOf(const Verb& verb) -> std::string {
  return fmt::format("{}{}{}", NameOf(verb), verb.arguments.empty() ? "" : " ",
                     verb.arguments);
}

auto VerbHelp(const Verb& verb) -> std::string {
  return fmt::format(
      "Usage: fireflythreadctl {} [FLAGS]\n\n{}.\n\n{}\nFor flags that all "
      "verbs have: fireflythreadctl --help\n",
      UsageOf(verb), verb.summary, verb.details);
}

auto Matches(const Verb& verb, const std::vector<std::string>& words) -> bool {
  if (words.empty() || words[0] != verb.group) {
    return false;
  }
  return verb.action.empty() || (words.size() > 1 && words[1] == verb.action);
}

auto FindVerb(const std::vector<std::string>& words) -> const Verb* {
  for (const Verb& verb : Verbs()) {
    if (Matches(verb, words)) {
      return &verb;
    }
  }
  return nullptr;
}

// The verbs of the group that the words begin with, or all of them.
auto ListVerbs(const std::vector<std::string>& words) -> std::string {
  std::string text;
  for (const Verb& verb : Verbs()) {
    if (words.empty() || words[0] == verb.group) {
      text += fmt::format("  {:<32} {}\n", UsageOf(verb), verb.summary);
    }
  }
  return text;
}

auto UnknownVerb(const std::vector<std::string>& words, Output& output)
    -> ExitCode {
  const std::string group = ListVerbs(words);
  std::string given;
  for (const std::string& word : words) {
    given += given.empty() ? "" : " ";
    given += Printable(word);
  }
  output.err += fmt::format("\"{}\" is not a verb; verbs:\n{}", given,
                            group.empty() ? ListVerbs({}) : group);
  return ExitCode::kUsage;
}

}  // namespace

auto GeneralHelp() -> std::string {
  return fmt::format(
      "Usage: fireflythreadctl [FLAGS] VERB [ARGUMENTS]\n\nVerbs:\n{}\n{}\n{}",
      ListVerbs({}), kFlags, kExitCodes);
}

auto RunCommand(const std::vector<std::string>& words,
                const Options& options,
                bool help,
                Api& api,
                Output& output) -> ExitCode {
  if (words.empty()) {
    (help ? output.out : output.err) += GeneralHelp();
    return help ? ExitCode::kOk : ExitCode::kUsage;
  }
  const Verb* verb = FindVerb(words);
  if (verb == nullptr) {
    return UnknownVerb(words, output);
  }
  if (help) {
    output.out += VerbHelp(*verb);
    return ExitCode::kOk;
  }
  const Arguments arguments(words.begin() + (verb->action.empty() ? 1 : 2),
                            words.end());
  if (arguments.size() < verb->min_arguments ||
      arguments.size() > verb->max_arguments) {
    output.err += fmt::format("usage: fireflythreadctl {}\n", UsageOf(*verb));
    return ExitCode::kUsage;
  }
  return verb->run(options, arguments, api, output);
}

}  // namespace fireflythread::ctl
