#pragma once
#include "wire/http.hpp"

namespace tealshelf {

/// True if all who read a request's head by HTTP/1.1 see the same request: one host, a version 1.0 or 1.1, and no
/// transfer coding but `chunked`. What concerns lengths and bytes is the parser's part.
bool isUnambiguous(http::fields const& head, unsigned version);

/// Brings a request whose target is in absolute form (`http://HOST/PATH`) to the usual form: the host of the target
/// goes before that of the header.
void useOriginForm(HttpRequest& request);

}  // namespace tealshelf
