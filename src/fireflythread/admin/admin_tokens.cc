#include "fireflythread/admin/admin_tokens.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fireflythread::admin {
namespace {

constexpr std::size_t kShortestToken = 16;
constexpr std::size_t kLongestToken = 256;

// Looks at every character whatever the difference, so that the time taken
// does not tell a client how much of its guess is right.
auto EqualInConstantTime(std::string_view given, std::string_view secret)
    -> bool {
  unsigned difference = given.size() == secret.size() ? 0 : 1;
  for (std::size_t i = 0; i < secret.size(); ++i) {
    const char c = i < given.size() ? given[i] : '\0';
    difference |= static_cast<unsigned char>(c ^ secret[i]);
  }
  return difference == 0;
}

auto SplitWords(std::string_view line) -> std::vector<std::string> {
  std::vector<std::string> words;
  std::size_t begin = line.find_first_not_of(" \t\r");
  while (begin != std::string_view::npos) {
    const std::size_t end = line.find_first_of(" \t\r", begin);
    words.emplace_back(line.substr(begin, end - begin));
    begin = line.find_first_not_of(" \t\r", end);
  }
  return words;
}

auto IsTokenText(std::string_view text) -> bool {
  return text.size() >= kShortestToken && text.size() <= kLongestToken &&
         std::ranges::all_of(
             text, [](char c) -> bool { return c > ' ' && c <= '~'; });
}

// Gives what is wrong with a line, or an empty text.
auto FaultOf(const std::vector<std::string>& words) -> std::string_view {
  if (words.size() != 3) {
    return "expected: ROLE NAME TOKEN";
  }
  if (words[0] != "view" && words[0] != "edit") {
    return "the role is neither view nor edit";
  }
  return IsTokenText(words[2])
             ? ""
             : "the token must have 16 to 256 printable characters";
}

}  // namespace

AdminTokens::AdminTokens(std::vector<Token> known_tokens)
    : tokens(std::move(known_tokens)) {}

auto AdminTokens::Authenticate(std::string_view authorization) const
    -> std::optional<Identity> {
  constexpr std::string_view kScheme = "Bearer ";
  if (!authorization.starts_with(kScheme)) {
    return std::nullopt;
  }
  const std::string_view given = authorization.substr(kScheme.size());
  std::optional<Identity> found;
  for (const Token& token : this->tokens) {
    if (EqualInConstantTime(given, token.secret)) {
      found = Identity{token.role, token.name};
    }
  }
  return found;
}

auto ParseAdminTokens(std::string_view text)
    -> std::variant<AdminTokens, std::vector<std::string>> {
  std::vector<AdminTokens::Token> tokens;
  std::vector<std::string> faults;
  int number = 0;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::vector<std::string> words = SplitWords(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
    ++number;
    if (words.empty() || words[0].starts_with('#')) {
      continue;
    }
    const std::string_view fault = FaultOf(words);
    if (!fault.empty()) {
      faults.push_back(fmt::format("line {}: {}", number, fault));
      continue;
    }
    const AdminRole role =
        words[0] == "edit" ? AdminRole::kEdit : AdminRole::kView;
    tokens.push_back(AdminTokens::Token{role, words[1], words[2]});
  }
  if (faults.empty() && tokens.empty()) {
    faults.emplace_back("the file holds no token");
  }
  if (!faults.empty()) {
    return faults;
  }
  return AdminTokens(std::move(tokens));
}

}  // namespace fireflythread::admin
