#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// What a request's `Prompt-Start` says of its prompt: parts as ID:TOKENS in order, the last of them the request's own.
///
/// The header is untrusted: tokens are added up to `maxTokens` and no further, and parts beyond `maxParts` only count
/// their tokens.
struct PromptPrefix {
  static constexpr std::uint64_t maxTokens = 1u << 24;
  static constexpr std::size_t maxParts = 256;

  std::uint64_t sharedKey = 0;     ///< hash of the shared parts, in order
  std::uint64_t sharedTokens = 0;  ///< never more than promptTokens
  std::uint64_t promptTokens = 0;

  static PromptPrefix parse(string_view header);
};

}  // namespace tealshelf
