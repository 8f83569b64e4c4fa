#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// What the first bytes of a request show of its head, before the parser reads them.
enum class HeadState {
  incomplete,  ///< more bytes must come
  complete,    ///< it is there whole, or has a line end that the parser refuses
  folded       ///< a header goes on in the next line, which not all who read it understand
};

/// How many bytes of empty lines come before a request, which HTTP/1.1 has a server skip.
std::size_t emptyLinesLength(string_view bytes);
/// The state of a head that begins with the first of `bytes`.
HeadState headStateOf(string_view bytes);

}  // namespace tealshelf
