#pragma once

/// Exit codes of the programs, besides 0 and those of the command-line parser.
namespace tealshelf {

/// The arguments or the settings file are invalid; nothing was started or changed.
constexpr int exitBadArguments = 2;
/// The command failed.
constexpr int exitFailure = 3;

}  // namespace tealshelf
