#pragma once

/// Exit codes of the programs, beside 0 and those of the command line parser.
namespace tealshelf {

/// The arguments or the settings file can't be used; nothing was started or changed.
constexpr int exitBadArguments = 2;
/// The work itself failed.
constexpr int exitFailure = 3;

}  // namespace tealshelf
