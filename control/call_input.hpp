#pragma once
#include "base/tealshelf.hpp"

/// Checks of what workers and operators send to the control interface.
namespace tealshelf {

/// The id that follows a prefix in the path of a call. Throws ErrorCode::badId unless it is one segment of 1 to 128
/// visible characters without escapes.
string idInPath(string_view path, string_view prefix);

/// Checks the body of a request to empty a machine: an object with `overS`, a time in seconds of a day at most.
/// Throws ErrorCode::badRetirement for anything else.
void checkRetirement(string const& body);

/// Whether a call may change something.
enum class CallKind {
  read,
  change,
  addition  ///< to a tally: it may be sent again to any node
};

/// What a caller of the control interface is told: an error that leaves the call's end open becomes a 503, which no
/// caller takes for final. A read has no end that could be open; it wasn't served. An addition's open end stays one, as
/// a 503 promises there that nothing was counted.
Error errorForCaller(Error const& error, CallKind kind);

}  // namespace tealshelf
