#ifndef FIREFLYTHREAD_CTL_VERB_H_
#define FIREFLYTHREAD_CTL_VERB_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fireflythread/ctl/exit_code.h"
#include "fireflythread/ctl/fwd.h"

namespace fireflythread::ctl {

using Arguments = std::vector<std::string>;

/// One verb of the program, e.g. "maintenance declare".
struct Verb {
  std::string_view group;
  /// Empty for a group with one verb, e.g. "status".
  std::string_view action;
  /// The arguments as shown in the help.
  std::string_view arguments;
  std::string_view summary;
  /// Flags and notes of this verb, lines of the help.
  std::string_view details;
  std::size_t min_arguments = 0;
  std::size_t max_arguments = 0;
  auto(*run)(const Options& options,
             const Arguments& arguments,
             Api& api,
             Output& output) -> ExitCode;
};

[[nodiscard]] auto Verbs() -> std::span<const Verb>;

}  // namespace fireflythread::ctl

#endif  // FIREFLYTHREAD_CTL_VERB_H_
