#include "traffic/prompt_prefix.hpp"

namespace tealshelf {

namespace {
std::uint64_t addBounded(std::uint64_t sum, std::uint64_t tokens) {
  return std::min(PromptPrefix::maxTokens, sum + std::min(tokens, PromptPrefix::maxTokens));
}
}  // namespace

PromptPrefix PromptPrefix::parse(string_view header) {
  PromptPrefix prefix;
  string sharedParts;
  std::size_t parts = 0;
  while (!header.empty()) {
    std::size_t const comma = header.find(',');
    bool const isLast = comma == string_view::npos;
    string_view const part = header.substr(0, comma);
    header = isLast ? string_view() : header.substr(comma + 1);
    std::size_t const colon = part.find(':');
    if (colon == string_view::npos) continue;
    std::optional<std::uint64_t> const tokens = parseNumber(part.substr(colon + 1));
    if (!tokens) continue;
    prefix.promptTokens = addBounded(prefix.promptTokens, *tokens);
    if (isLast || ++parts > maxParts) continue;
    prefix.sharedTokens = addBounded(prefix.sharedTokens, *tokens);
    sharedParts += part;
  }
  prefix.sharedKey = hash64(sharedParts);
  return prefix;
}

}  // namespace tealshelf
