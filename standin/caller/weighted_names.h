#ifndef STANDIN_CALLER_WEIGHTED_NAMES_H_
#define STANDIN_CALLER_WEIGHTED_NAMES_H_

#include <string>
#include <utility>
#include <vector>

#include "fireflythread/base/random.h"

namespace fireflythread::standin {

/// Names with a number each, as in "counter:70,deadline:20".
using WeightedNames = std::vector<std::pair<std::string, double>>;

/// Parses the text; a name without a number gets `default_number`.
[[nodiscard]] auto ParseNames(const std::string& text, double default_number)
    -> WeightedNames;

/// Draws a name with a probability in proportion to its number; empty when
/// there are no names.
[[nodiscard]] auto DrawName(const WeightedNames& names, Random& random)
    -> std::string;

/// The number of a name, or `otherwise` when it is not listed.
[[nodiscard]] auto NumberOf(const WeightedNames& names,
                            const std::string& name,
                            double otherwise) -> double;

}  // namespace fireflythread::standin

#endif  // STANDIN_CALLER_WEIGHTED_NAMES_H_
