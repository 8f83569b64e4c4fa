#pragma once
#include <string>
#include <string_view>

/// The log of a process: one short line an event, with the component that it comes from.
namespace tealshelf {

enum class LogLevel { debug, info, warning, error };

/// Sets the log up for this process, or only its level if it was set up before; below the level nothing is written.
void initLogging(LogLevel minimum);
/// Reads the name of a level; false if there is none of that name.
bool parseLogLevel(std::string_view name, LogLevel& level);

void log(LogLevel level, std::string_view component, std::string const& text);
inline void logDebug(std::string_view component, std::string const& text) {
  log(LogLevel::debug, component, text);
}
inline void logInfo(std::string_view component, std::string const& text) {
  log(LogLevel::info, component, text);
}
inline void logWarning(std::string_view component, std::string const& text) {
  log(LogLevel::warning, component, text);
}
inline void logError(std::string_view component, std::string const& text) {
  log(LogLevel::error, component, text);
}

}  // namespace tealshelf
