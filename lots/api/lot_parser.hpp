#pragma once
#include "segments/messages.hpp"

namespace tealshelf {

/// Reads a lot as a client hands it in; throws lotUnreadable, lotTooManyItems, duplicateItem or badItemPayload.
vector<ItemRecord> parseLot(string const& body);

/// Decodes base64; nothing if the text isn't.
std::optional<string> decodeBase64(string_view text);

}  // namespace tealshelf
