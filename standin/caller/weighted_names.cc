#include "standin/caller/weighted_names.h"

#include <cstdlib>
#include <sstream>

namespace fireflythread::standin {

auto ParseNames(const std::string& text, double default_number)
    -> WeightedNames {
  WeightedNames names;
  std::istringstream stream(text);
  std::string item;
  while (std::getline(stream, item, ',')) {
    const std::size_t colon = item.rfind(':');
    if (colon == std::string::npos) {
      names.emplace_back(item, default_number);
    } else {
      names.emplace_back(item.substr(0, colon),
                         std::atof(item.c_str() + colon + 1));
    }
  }
  return names;
}

auto DrawName(const WeightedNames& names, Random& random) -> std::string {
  std::vector<double> weights;
  weights.reserve(names.size());
  for (const auto& [name, weight] : names) {
    weights.push_back(weight);
  }
  if (weights.empty()) {
    return "";
  }
  std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
  return names[pick(random)].first;
}

auto NumberOf(const WeightedNames& names,
              const std::string& name,
              double otherwise) -> double {
  for (const auto& [known, number] : names) {
    if (known == name) {
      return number;
    }
  }
  return otherwise;
}

}  // namespace fireflythread::standin
