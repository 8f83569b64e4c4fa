#pragma once
#include "base/tealshelf.hpp"

namespace tealshelf {

/// State of a request's head as judged by the bytes received so far, before they are parsed.
enum class HeadState {
  incomplete,  ///< more bytes are needed
  complete,    ///< received completely, or has a line end that the parser refuses
  folded       ///< has a header continued on the next line (obs-fold), which implementations interpret differently
};

/// Number of bytes in the empty lines before a request, which an HTTP/1.1 server should ignore.
std::size_t emptyLinesLength(string_view bytes);

/// Judges a head as its bytes arrive; looks at each line once.
class HeadScan {
 public:
  /// The state of a head that begins at the start of `bytes`, which continue those of the call before.
  HeadState stateOf(string_view bytes);

 private:
  std::size_t lineStart_ = 0;
};

}  // namespace tealshelf
