#pragma once
#include "base/tealshelf.hpp"

/// Validation of calls to the control interface, and of the errors that its callers get.
namespace tealshelf {

/// The id that follows a prefix in the path of a call. Throws ErrorCode::badId unless it is one segment of 1 to 128
/// visible ASCII characters without escapes.
string idInPath(string_view path, string_view prefix);

/// Validates the body of a request to retire a store: an object with `overS`, a time in seconds of at most a day.
/// Throws ErrorCode::badRetirement for anything else.
void checkRetirement(string const& body);

/// Kinds of calls, by how an unknown outcome is reported.
enum class CallKind {
  read,
  change,
  addition  ///< to a tally; it may be retried at any node
};

/// The error that a caller of the control interface gets. An unknown outcome of a read or a change becomes a 503, which
/// callers retry: a read has no effect. The unknown outcome of an addition stays one, as a 503 would promise that
/// nothing was counted.
Error errorForCaller(Error const& error, CallKind kind);

}  // namespace tealshelf
