#pragma once
#include "base/tealshelf.hpp"

/// A canonical form of JSON texts and its digest, by which texts of equal content are recognized.
namespace tealshelf {

/// An SHA-256 digest of 32 bytes.
using Digest = StrongType<string, struct DigestTag>;

/// Rewrites a JSON text so that equal contents give equal bytes: members of objects are sorted by name, white
/// space is dropped, strings are escaped in one way, and numbers are exact decimals without redundant digits.
/// Arrays keep their order. Throws ErrorCode::unreadable for a text that isn't JSON, that nests too deeply, or that
/// names a member twice in one object.
string canonicalJson(string_view text);

Digest sha256(string_view bytes);

}  // namespace tealshelf
