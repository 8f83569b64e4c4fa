#pragma once
#include "segments/messages.hpp"

namespace tealshelf {

/// Parses the body of a submitted lot; throws lotUnreadable, lotTooManyItems, duplicateItem or badItemPayload.
vector<ItemRecord> parseLot(string const& body);

/// Decodes base64 with padding; nothing if the text is invalid.
std::optional<string> decodeBase64(string_view text);

}  // namespace tealshelf
