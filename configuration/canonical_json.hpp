#pragma once
#include "base/tealshelf.hpp"

/// A canonical form of JSON texts and their digest, by which two texts of one content are known as equal.
namespace tealshelf {

/// SHA-256 of a text, as 32 bytes.
using Digest = StrongType<string, struct DigestTag>;

/// Rewrites a JSON text so that equal contents give equal bytes: members of objects are sorted by name, white
/// space is dropped, strings have one form of escapes, and numbers are exact decimals without redundant digits.
/// Arrays keep their order. Throws ErrorCode::unreadable for a text that isn't JSON, that nests too deeply, or that
/// names a member twice in one object.
string canonicalJson(string_view text);

/// The SHA-256 of some bytes.
Digest sha256(string_view bytes);

}  // namespace tealshelf
