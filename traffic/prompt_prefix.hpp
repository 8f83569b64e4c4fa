#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// The prompt's parts from the header `Prompt-Start`: a list of ID:TOKENS in order, the last one specific to the
/// request.
///
/// The header is untrusted: sums of tokens are capped at `maxTokens`, and of parts beyond `maxParts` only the tokens
/// count.
struct PromptPrefix {
  static constexpr std::uint64_t maxTokens = 1u << 24;
  static constexpr std::size_t maxParts = 256;

  std::uint64_t sharedKey = 0;     ///< hash of the shared parts, in order
  std::uint64_t sharedTokens = 0;  ///< never more than promptTokens
  std::uint64_t promptTokens = 0;

  static PromptPrefix parse(string_view header);
};

}  // namespace tealshelf
