#pragma once
#include "wire/http.hpp"

namespace tealshelf {

/// True if all HTTP/1.1 implementations interpret a request's head in the same way: one host, version 1.0 or 1.1, and
/// no transfer coding but `chunked`. The parser checks lengths and syntax.
bool isUnambiguous(http::fields const& head, unsigned version);

/// Converts a request whose target is in absolute form (`http://HOST/PATH`) to origin form; the target's host replaces
/// that of the header.
void useOriginForm(HttpRequest& request);

}  // namespace tealshelf
